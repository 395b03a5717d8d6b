package placer

import (
	"context"
	"encoding/json"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/plat/store"
)

const (
	// leaseTTL is how long the planner's lease lasts without a renewal.
	leaseTTL = 9 * time.Second
	// renewInterval is the shortest time between renewals, and the pause between tries to acquire the lease.
	renewInterval = 3 * time.Second
	// planInterval is the longest time between planning steps when the configuration doesn't change.
	planInterval = 2 * time.Second
)

// leaseKey is the store key bound to the planner's lease.
const leaseKey = store.PlannerPrefix + "lease"

// Run acquires the planner's lease whenever it is free and plans while holding
// it. The lease only avoids duplicate work: each write compares the revision it
// read, so a planner that was paused past its lease can't overwrite anything.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, ok := p.acquireLease(ctx)
		if ok {
			p.Log.Info("planner lease acquired; planning starts")
			p.planUnderLease(ctx, lease)
		}
		sleep.For(ctx, renewInterval)
	}
}

// acquireLease tries to acquire the planner's lease and returns its ID, or
// false if another entry holds it or the store call failed.
func (p *Planner) acquireLease(ctx context.Context) (int64, bool) {
	if _, exists, err := p.Store.Get(ctx, leaseKey); err != nil || exists {
		return 0, false
	}
	lease, err := p.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, false
	}
	value, err := json.Marshal(struct{ Node string }{p.NodeName})
	if err != nil {
		return 0, false
	}
	res, err := p.Store.Commit(ctx, store.Txn{If: []store.Compare{{Key: leaseKey}}, Puts: []store.Put{{Key: leaseKey, Value: value, Lease: lease}}})
	return lease, err == nil && res.Succeeded
}

// planUnderLease plans until the lease expires or can't be renewed within its TTL.
func (p *Planner) planUnderLease(ctx context.Context, lease int64) {
	renewedAt := time.Now()
	p.resetObservations()
	for ctx.Err() == nil && time.Since(renewedAt) < leaseTTL {
		_, changed := p.Holder.ViewAndChange()
		p.Step(ctx)
		if time.Since(renewedAt) >= renewInterval {
			sentAt := time.Now()
			ok, err := p.Store.KeepAlive(ctx, lease)
			if err == nil && !ok {
				p.Log.Info("planner lease expired; planning stops until it is acquired again")
				return
			}
			if err == nil {
				renewedAt = sentAt
			}
		}
		select {
		case <-changed:
			// Changes come in bursts; one planning step covers a burst.
			sleep.For(ctx, changeDebounce)
		case <-time.After(planInterval):
		case <-ctx.Done():
		}
	}
}

// changeDebounce is the wait between a configuration change and the next planning step.
const changeDebounce = 200 * time.Millisecond
