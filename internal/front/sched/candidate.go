package sched

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

const (
	// leaseTTL is how long a front that stops renewing stays registered and keeps
	// the planner's key, unless the store's shortest lease is longer.
	leaseTTL = 2 * time.Second
	// renewalsPerTTL is the number of renewals in one lease TTL.
	renewalsPerTTL = 4
	// maxSuspension is how long the machine may have been suspended since the last
	// renewal before the front stops giving orders until the next one.
	maxSuspension = 300 * time.Millisecond
	// maxClaimJitter bounds the random delay of a claim, as all fronts see the
	// planner's key vanish at the same time.
	maxClaimJitter = 150 * time.Millisecond
	// relayDelay is how long a renewal may take before another front is asked to renew
	// the lease as well.
	relayDelay = 150 * time.Millisecond
	// storeCheckInterval is the pause between checks whether the store is back.
	storeCheckInterval = 50 * time.Millisecond
)

// LeaseStore is the part of the store that a Candidate uses.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (bool, error)
	Release(ctx context.Context, lease int64) error
	Commit(ctx context.Context, t store.Txn) (store.Result, error)
}

// LeaseRelay renews leases through other fronts, for a front that can't reach the store.
type LeaseRelay interface {
	RenewLease(ctx context.Context, lease int64) (bool, error)
}

// Site is the front's view of the site.
type Site interface {
	State() *follow.State
	// ApplyWritten applies a key that this front has written, ahead of the watch.
	ApplyWritten(kv store.KV)
	// Unavailable reports whether the store is unavailable or recovered less than span ago.
	Unavailable(span time.Duration) bool
}

// Candidate registers a front in the store under a lease and claims the planner's key
// when no front holds it (leader election).
type Candidate struct {
	Self      follow.Front
	store     LeaseStore
	relay     LeaseRelay
	witnesses Witnesses
	site      Site
	ttl       time.Duration
	bootClock func() time.Duration
	// claimDelay is how long this front waits before it claims the planner's key, so
	// that fronts with more CPU claim it first.
	claimDelay time.Duration
	log        *zap.SugaredLogger
	mu         sync.Mutex
	lease      int64
	// hadLease is set once this process has held a lease.
	hadLease  bool
	renewedAt time.Time
	// renewedAtBoot is the time of the last renewal on bootClock, which also counts
	// the time in which the machine is suspended.
	renewedAtBoot time.Duration
	leaving       bool
	// predecessorGone is when this front saw the planner's key vanish that it then
	// claimed, zero if it does not know.
	predecessorGone time.Time
	// predecessorOrdersEnd is until when the planner before may have given orders, zero if
	// predecessorGone is.
	predecessorOrdersEnd time.Time
	// outageConfirmedAt is when all other fronts were last asked that found the store unavailable.
	outageConfirmedAt time.Time
	// confirmedUntil is the time until which another planner may give orders because this front
	// found the store unavailable.
	confirmedUntil time.Time
	// renewalFailing is true while renewals fail. Only Run uses it, without the lock.
	renewalFailing bool
}

// CandidateOptions describe the front, its machine and the store to a Candidate.
type CandidateOptions struct {
	Name    string
	Address string
	// Domain is the front's failure domain.
	Domain string
	// MinLeaseTTL is the shortest lease TTL that the store grants.
	MinLeaseTTL time.Duration
	// CPUShare is the share of a CPU core available to the front, 0 if unknown.
	CPUShare float64
	// LinkBytesPerSecond is the bandwidth of the machine's link, 0 if unknown.
	LinkBytesPerSecond float64
	// SinceBoot returns the time since boot, including the time in which the machine was suspended.
	SinceBoot func() time.Duration
}

// NewCandidate returns a Candidate that registers the front once Run is called.
func NewCandidate(o CandidateOptions, s LeaseStore, view Site, log *zap.SugaredLogger) *Candidate {
	return &Candidate{
		Self: follow.Front{Name: o.Name, Address: o.Address, Run: uuid.NewString(), Domain: o.Domain, LinkBytesPerSecond: o.LinkBytesPerSecond, RecordsAhead: true, ProvesStarts: true}, store: s, site: view,
		ttl: max(leaseTTL, o.MinLeaseTTL), bootClock: o.SinceBoot, claimDelay: claimDelayFor(o.CPUShare), log: log,
	}
}

// SetRelay sets the source of renewals while the store is out of reach; call it before Run.
func (l *Candidate) SetRelay(r LeaseRelay) {
	l.relay = r
}

const (
	// sufficientCPUShare is the share of a core from which a planner for a few dozen
	// fronts and servers has enough CPU time (docs/CAPACITY.md).
	sufficientCPUShare = 0.3
	// maxClaimDelay is the limit of the claim delay as the CPU share goes to 0.
	maxClaimDelay = 800 * time.Millisecond
)

// claimDelayFor returns how long a front with the given share of a CPU core waits
// before it claims the planner's key; 0 if the share is sufficient or unknown.
func claimDelayFor(cpuShare float64) time.Duration {
	if cpuShare <= 0 || cpuShare >= sufficientCPUShare {
		return 0
	}
	return time.Duration((1 - cpuShare/sufficientCPUShare) * float64(maxClaimDelay))
}

// Run renews the registration and claims the planner's key whenever it is free,
// until the context ends.
func (l *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.waitsForStore() {
			sleep.For(ctx, storeCheckInterval)
			continue
		}
		err := l.renewOrRegister(ctx)
		if err != nil && !l.renewalFailing {
			l.log.Warnw("lease renewal or registration failed; retrying at the next renewal", "Error", err.Error())
		}
		l.renewalFailing = err != nil
		l.claimUntilRenewal(ctx)
	}
}

// waitsForStore reports whether to make no calls until the follower has reached the store, which backs
// off: the store fails, and there is no lease that it could still renew.
func (l *Candidate) waitsForStore() bool {
	if !l.site.Unavailable(0) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease == 0 || time.Since(l.renewedAt) > l.ttl+l.ttl/renewalsPerTTL
}

// claimUntilRenewal waits until the next renewal is due and claims the planner's
// key whenever it is free.
func (l *Candidate) claimUntilRenewal(ctx context.Context) {
	due := time.Now().Add(l.ttl / renewalsPerTTL)
	for ctx.Err() == nil && time.Now().Before(due) {
		s := l.site.State()
		if s.Planner == nil && l.registered() && !l.waitsForStore() && sleep.For(ctx, l.claimDelay+rand.N(maxClaimJitter)) {
			l.claimPlannerKey(ctx)
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

// maxVacancyAge is the age up to which a front trusts that it saw the last change of the
// planner's key. Within it no other front can have claimed the key, waited for the
// hand-over and given an order.
const maxVacancyAge = 1500 * time.Millisecond

// setPredecessorGone records when the planner's key vanished that this front has claimed, and when the
// current era of the store began, zero for the first one.
func (l *Candidate) setPredecessorGone(at, eraBeganAt time.Time) {
	if time.Since(at) > maxVacancyAge {
		at = time.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.predecessorGone, l.predecessorOrdersEnd = at, at
	if eraEnd := eraBeganAt.Add(l.ttl + orderLatency); !eraBeganAt.IsZero() && eraEnd.After(at) {
		// The store lost the key of a planner that may not know yet, and relies on its lease until then.
		l.predecessorOrdersEnd = eraEnd
	}
	if l.confirmedUntil.After(l.predecessorOrdersEnd) {
		l.predecessorOrdersEnd = l.confirmedUntil
	}
	if l.site.Unavailable(recentOutage) {
		// Fronts that have not noticed the end of the outage may have confirmed it without this one.
		l.predecessorOrdersEnd = latest(l.predecessorOrdersEnd, time.Now().Add(outageHold+orderLatency))
	}
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takePredecessorGone returns when this front saw the previous planner's key vanish and until
// when that one may have given orders, or the current time if it does not know, and forgets both.
func (l *Candidate) takePredecessorGone() (gone, ordersEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone, ordersEnd = l.predecessorGone, l.predecessorOrdersEnd
	l.predecessorGone, l.predecessorOrdersEnd = time.Time{}, time.Time{}
	if gone.IsZero() {
		return time.Now(), time.Now()
	}
	return gone, ordersEnd
}

func (l *Candidate) registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0 && !l.leaving
}

// renewOrRegister renews the lease. If there is none, or it or the registration was
// lost, it gets a new lease and registers under it.
func (l *Candidate) renewOrRegister(ctx context.Context) error {
	l.mu.Lock()
	lease, leaving := l.lease, l.leaving
	l.mu.Unlock()
	if leaving {
		return nil
	}
	began, beganBoot := time.Now(), l.bootClock()
	if lease != 0 {
		ok, err := l.renew(ctx, lease)
		if err != nil {
			return err
		}
		if ok && l.registrationVisible() {
			l.setLease(lease, began, beganBoot)
			return nil
		}
		l.log.Warnw("lease or registration lost; registering under a new lease", "Lease", store.LeaseNumber(lease), "Era", store.LeaseEra(lease), "Renewable", ok)
		if !ok {
			l.setLease(0, time.Time{}, 0)
		}
	}
	lease, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	value, err := json.Marshal(l.selfIn(lease))
	if err != nil {
		return err
	}
	key := follow.FrontPrefix + l.Self.Name
	res, err := l.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	l.log.Infow("registered", "Lease", store.LeaseNumber(lease), "Era", store.EraOf(res.Revision), "Revision", store.RevisionOf(res.Revision))
	l.setLease(lease, began, beganBoot)
	l.site.ApplyWritten(store.KV{Key: key, Value: value, Revision: res.Revision, Lease: lease})
	return nil
}

// selfIn returns the front as it is written under a lease.
func (l *Candidate) selfIn(lease int64) follow.Front {
	self := l.Self
	self.Era = store.LeaseEra(lease)
	return self
}

// renew renews the lease at the store. If the store has not done so within relayDelay, it
// also asks other fronts, so that a front that is cut off from the store
// alone keeps its registration and the planner's key. While the store does not answer this front, the
// others are asked first.
func (l *Candidate) renew(ctx context.Context, lease int64) (bool, error) {
	direct := func(ctx context.Context) (bool, error) { return l.store.KeepAlive(ctx, lease) }
	if l.relay == nil {
		return direct(ctx)
	}
	first, second := direct, func(ctx context.Context) (bool, error) { return l.relay.RenewLease(ctx, lease) }
	if l.site.Unavailable(0) {
		first, second = second, first
	}
	return tasks.First(ctx, first, func(ctx context.Context) (bool, error) {
		if !sleep.For(ctx, relayDelay) {
			return false, ctx.Err()
		}
		return second(ctx)
	})
}

// registrationVisible reports whether the store still lists this front. The
// registration may be removed while renewals of the lease still succeed.
func (l *Candidate) registrationVisible() bool {
	front, ok := l.site.State().Fronts[l.Self.Name]
	return ok && front.Run == l.Self.Run
}

func (l *Candidate) setLease(lease int64, began time.Time, beganBoot time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.renewedAt, l.renewedAtBoot = lease, began, beganBoot
	l.hadLease = l.hadLease || lease != 0
}

// suspended reports whether the machine was suspended for longer than maxSuspension
// since the last renewal. The caller must hold l.mu.
func (l *Candidate) suspended() bool {
	return l.bootClock()-l.renewedAtBoot-time.Since(l.renewedAt) > maxSuspension
}

// claimPlannerKey writes the planner's key if no front holds it.
func (l *Candidate) claimPlannerKey(ctx context.Context) {
	state := l.site.State()
	if state.Planner != nil {
		return
	}
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	value, err := json.Marshal(l.selfIn(lease))
	if err != nil {
		l.log.Errorw("encoding the planner claim failed; not claiming the planner's key", "Error", err.Error())
		return
	}
	res, err := l.store.Commit(ctx, store.Txn{
		// A claim of an earlier era, which holds no longer, is replaced.
		If:   []store.Compare{{Key: follow.PlannerKey, Revision: state.Keys[follow.PlannerKey].Revision}},
		Puts: []store.Put{{Key: follow.PlannerKey, Value: value, Lease: lease}},
	})
	var gone *fault.NotFoundError
	switch {
	case fault.As(err, &gone):
		l.setLease(0, time.Time{}, 0)
	case err != nil:
		l.log.Warnw("claiming the planner's key failed; retrying while no front holds it", "Error", err.Error())
	default:
		l.log.Infow("tried to claim the planner's key", "Won", res.Succeeded, "Era", store.EraOf(res.Revision), "Revision", store.RevisionOf(res.Revision))
		if res.Succeeded {
			eraBeganAt := state.EraBeganAt
			if store.EraOf(res.Revision) > store.EraOf(state.Revision) {
				eraBeganAt = time.Now()
			}
			l.setPredecessorGone(state.PlannerChangedAt, eraBeganAt)
			l.site.ApplyWritten(store.KV{Key: follow.PlannerKey, Value: value, Revision: res.Revision, Lease: lease})
		}
	}
}

// FencingToken returns the fencing token if this front may give orders now, and false
// otherwise. If servers check fencing tokens, a planner whose process restarts while the store is
// away goes on under its token. After a suspension of the machine the lease must be renewed first.
// If servers don't check fencing tokens (checked is false), the lease must also
// have been renewed within three quarters of its TTL, or no front may reach the store.
func (l *Candidate) FencingToken(checked bool) (int64, bool) {
	state := l.site.State()
	p := state.Planner
	if p == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !(p.Run == l.Self.Run && l.mayHoldKey(p.FencingToken)) && !(checked && l.continues(p.Front)) {
		return 0, false
	}
	if l.leaving || l.suspended() || !checked && !l.holdsKey(state.Keys[follow.PlannerKey].Lease) {
		return 0, false
	}
	return p.FencingToken, true
}

// mayHoldKey reports whether the planner's key with a fencing token may be attached to this front's lease. A
// lost lease has lost the key, and one of a later era has not the key that was lost with the earlier one.
// The caller must hold l.mu.
func (l *Candidate) mayHoldKey(fence int64) bool {
	return l.lease != 0 && store.LeaseEra(l.lease) <= store.EraOf(fence)
}

// continues reports whether this front held the planner's key before its process restarted, and no
// other one can have claimed it since, as far as this front knows: the store has been away for as
// long as this process runs. The caller must hold l.mu.
func (l *Candidate) continues(planner follow.Front) bool {
	return planner.Name == l.Self.Name && planner.Address == l.Self.Address && !l.hadLease && l.site.Unavailable(0)
}

// holdsKey reports whether no other front can have claimed the planner's key, which is
// attached to a lease. The caller must hold l.mu.
func (l *Candidate) holdsKey(lease int64) bool {
	renewed := lease == l.lease && time.Since(l.renewedAt) <= l.ttl*3/4
	return renewed || time.Since(l.outageConfirmedAt) <= outageHold
}

// Resign gives up the registration and the planner's key by releasing the lease.
func (l *Candidate) Resign(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.leaving = true
	l.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := l.store.Release(ctx, lease); err != nil {
		l.log.Warnw("lease release failed; the registration stays until the lease expires", "Error", err.Error())
	}
}
