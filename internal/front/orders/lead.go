package orders

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

const (
	// leaseTime is how long a silent front stays registered and the planner, if the store grants it so short.
	leaseTime = 2 * time.Second
	// renewals is how often a lease is renewed within its time.
	renewals = 4
	// maxSuspension is how long the machine may have been suspended since a renewal.
	maxSuspension = 300 * time.Millisecond
	// claimSpread spreads the claims of fronts that see the planner's key vanish together.
	claimSpread = 150 * time.Millisecond
)

// Leases is the store as the lead uses it.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Release(ctx context.Context, lease int64) error
	Commit(ctx context.Context, t store.Txn) (store.Result, error)
}

// Lead registers a front in the store and claims the planner's key when nobody holds it.
type Lead struct {
	Self  follow.Front
	store Leases
	state func() *follow.State
	ttl   time.Duration
	boot  func() time.Duration
	// defers is how long this front leaves the planner's key to stronger machines.
	defers  time.Duration
	log     *zap.SugaredLogger
	mu      sync.Mutex
	lease   int64
	renewed time.Time
	// renewedBoot is renewed by the clock that counts suspensions.
	renewedBoot time.Duration
	leaving     bool
	// failing is true while renewals fail; it belongs to Run.
	failing bool
}

// LeadOptions is what a lead needs to know of its front's machine and store.
type LeadOptions struct {
	Name    string
	Address string
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// Processor is the part of a core that the machine has, 0 if not known.
	Processor float64
	// Boot is a clock that counts the time in which the machine was suspended.
	Boot func() time.Duration
}

// NewLead returns the lead of a front.
func NewLead(o LeadOptions, s Leases, state func() *follow.State, log *zap.SugaredLogger) *Lead {
	return &Lead{
		Self: follow.Front{Name: o.Name, Address: o.Address, Run: uuid.NewString()}, store: s, state: state,
		ttl: max(leaseTime, o.MinLease), boot: o.Boot, defers: deference(o.Processor), log: log,
	}
}

const (
	// strong is the part of a core on which a planner of some dozen fronts and
	// servers is not short of time (docs/CAPACITY.md).
	strong = 0.3
	// mostDeference is what a machine without any processor time would wait before it claims.
	mostDeference = 800 * time.Millisecond
)

// deference returns how long a front with a part of a core leaves the planner's key to stronger ones.
func deference(processor float64) time.Duration {
	if processor <= 0 || processor >= strong {
		return 0
	}
	return time.Duration((1 - processor/strong) * float64(mostDeference))
}

// Run keeps the registration and the claim until the context ends.
func (l *Lead) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.keep(ctx)
		if err != nil && !l.failing {
			l.log.Warnw("lease not renewed", "Error", err.Error())
		}
		l.failing = err != nil
		l.untilDue(ctx)
	}
}

// untilDue waits for the next renewal, claiming the planner's key whenever it is free.
func (l *Lead) untilDue(ctx context.Context) {
	due := time.Now().Add(l.ttl / renewals)
	for ctx.Err() == nil && time.Now().Before(due) {
		s := l.state()
		if s.Planner == nil && l.registered() && pause.For(ctx, l.defers+rand.N(claimSpread)) {
			l.claim(ctx)
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case <-s.Next():
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (l *Lead) registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0 && !l.leaving
}

// keep renews the lease, or takes a new one and registers under it.
func (l *Lead) keep(ctx context.Context) error {
	l.mu.Lock()
	lease, leaving := l.lease, l.leaving
	l.mu.Unlock()
	if leaving {
		return nil
	}
	began, boot := time.Now(), l.boot()
	if lease != 0 {
		ok, err := l.store.KeepAlive(ctx, lease)
		if err != nil {
			return err
		}
		if ok && l.listed() {
			l.set(lease, began, boot)
			return nil
		}
		l.log.Warnw("lease lost", "Lease", lease, "Renewable", ok)
	}
	lease, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	value, err := json.Marshal(l.Self)
	if err != nil {
		return err
	}
	res, err := l.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: follow.FrontPrefix + l.Self.Name, Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	l.log.Infow("registered", "Lease", lease, "Revision", res.Revision)
	l.set(lease, began, boot)
	return nil
}

// listed reports whether the store still shows the registration; it may be taken away while the lease seems to stand.
func (l *Lead) listed() bool {
	front, ok := l.state().Fronts[l.Self.Name]
	return ok && front.Run == l.Self.Run
}

func (l *Lead) set(lease int64, began time.Time, boot time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.renewed, l.renewedBoot = lease, began, boot
}

// suspended reports whether the machine was suspended since the lease was renewed; the caller holds the lock.
func (l *Lead) suspended() bool {
	return l.boot()-l.renewedBoot-time.Since(l.renewed) > maxSuspension
}

// claim takes the planner's key if nobody holds it.
func (l *Lead) claim(ctx context.Context) {
	if l.state().Planner != nil {
		return
	}
	value, err := json.Marshal(l.Self)
	if err != nil {
		l.log.Errorw("registration cannot be encoded", "Error", err.Error())
		return
	}
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	res, err := l.store.Commit(ctx, store.Txn{
		If:   []store.Compare{{Key: follow.PlannerKey}},
		Puts: []store.Put{{Key: follow.PlannerKey, Value: value, Lease: lease}},
	})
	var gone *fault.Missing
	switch {
	case fault.As(err, &gone):
		l.set(0, time.Time{}, 0)
	case err != nil:
		l.log.Warnw("planner's key not claimed", "Error", err.Error())
	default:
		l.log.Infow("planner's key claimed", "Won", res.Succeeded, "Revision", res.Revision)
	}
}

// Fence returns the fencing number if this front may give orders now. After a
// suspension of the machine the lease must be renewed first; where servers do
// not check fences, a lease that was not renewed in time ends the right too.
func (l *Lead) Fence(checked bool) (int64, bool) {
	p := l.state().Planner
	if p == nil || p.Run != l.Self.Run {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving || l.suspended() || !checked && time.Since(l.renewed) > l.ttl*3/4 {
		return 0, false
	}
	return p.Fence, true
}

// Leave gives up the registration and the planner's key.
func (l *Lead) Leave(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.leaving = true
	l.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := l.store.Release(ctx, lease); err != nil {
		l.log.Warnw("lease not released", "Error", err.Error())
	}
}
