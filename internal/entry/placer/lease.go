package placer

import (
	"context"
	"encoding/json"
	"time"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/plat/store"
)

const (
	leaseTTL   = 9 * time.Second
	renewEvery = 3 * time.Second
	// planEvery is how often the planner looks at the plan without a change.
	planEvery = 2 * time.Second
)

// leaseKey is the key that the planner's lease holds.
const leaseKey = store.PlannerPrefix + "lease"

// Run takes the planner's lease whenever it is free and plans while it holds
// it. The lease only avoids double work: each write compares the revision it
// read, so a planner that was paused past its lease overwrites nothing.
func (p *Placer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, ok := p.acquire(ctx)
		if ok {
			p.Log.Info("planner lease taken")
			p.hold(ctx, lease)
		}
		pause.For(ctx, renewEvery)
	}
}

// acquire tries to take the lease.
func (p *Placer) acquire(ctx context.Context) (int64, bool) {
	if _, held, err := p.Store.Get(ctx, leaseKey); err != nil || held {
		return 0, false
	}
	lease, err := p.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, false
	}
	value, err := json.Marshal(struct{ Node string }{p.Self})
	if err != nil {
		return 0, false
	}
	res, err := p.Store.Commit(ctx, store.Txn{If: []store.Compare{{Key: leaseKey}}, Puts: []store.Put{{Key: leaseKey, Value: value, Lease: lease}}})
	return lease, err == nil && res.Succeeded
}

// hold plans until the lease is lost or cannot be renewed in time.
func (p *Placer) hold(ctx context.Context, lease int64) {
	renewed := time.Now()
	p.reset()
	for ctx.Err() == nil && time.Since(renewed) < leaseTTL {
		_, changed := p.Holder.Changed()
		p.Step(ctx)
		if time.Since(renewed) >= renewEvery {
			began := time.Now()
			ok, err := p.Store.KeepAlive(ctx, lease)
			if err == nil && !ok {
				p.Log.Info("planner lease lost")
				return
			}
			if err == nil {
				renewed = began
			}
		}
		select {
		case <-changed:
			// Changes come in bursts; one look serves them all.
			pause.For(ctx, burstPause)
		case <-time.After(planEvery):
		case <-ctx.Done():
		}
	}
}

const burstPause = 200 * time.Millisecond
