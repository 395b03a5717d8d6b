package pacer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
)

const (
	// issuerTimeout bounds a call to the front that keeps a schedule.
	issuerTimeout = 150 * time.Millisecond
	// silentIssuerTime is how long a front that did not answer is not called again.
	silentIssuerTime = time.Second
	// sharesPerFront divides the limit of an instance whose issuer does not answer into this
	// many parts per front, since the issuer may go on using it.
	sharesPerFront = 2
)

// Issuer keeps the schedules of instances.
type Issuer struct {
	// startDelay returns the wait before the first request of a schedule.
	startDelay func(perSecond float64) time.Duration
	mu         sync.Mutex
	schedules  map[site.InstanceKey]pace.Schedule
}

// NewIssuer returns an issuer without schedules.
func NewIssuer() *Issuer {
	return &Issuer{startDelay: func(float64) time.Duration { return 0 }, schedules: map[site.InstanceKey]pace.Schedule{}}
}

// newShares returns an issuer for one front's shares of limits. Its schedules begin at random
// times, since all fronts may turn to their shares at once.
func newShares() *Issuer {
	return &Issuer{
		startDelay: func(perSecond float64) time.Duration {
			return time.Duration(rand.Float64() * float64(pace.Interval(perSecond)))
		}, schedules: map[site.InstanceKey]pace.Schedule{},
	}
}

// maxSchedules is the number of schedules from which idle ones are dropped.
const maxSchedules = 64

// Reserve reserves one request. An instance's first one begins its schedule without a
// burst, as another issuer may have kept it until now.
func (i *Issuer) Reserve(r peers.PaceRequest) peers.PaceReply {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	s, ok := i.schedules[r.Instance]
	if !ok {
		i.dropIdle(now)
		s = pace.StartAt(now.Add(i.startDelay(r.PerSecond)), r.PerSecond)
	}
	s, wait, ok := s.Reserve(now, r.PerSecond, r.MaxWait)
	i.schedules[r.Instance] = s
	return peers.PaceReply{Wait: wait, Reserved: ok}
}

// dropIdle drops idle schedules if there are many; the caller holds the lock.
func (i *Issuer) dropIdle(now time.Time) {
	if len(i.schedules) < maxSchedules {
		return
	}
	for k, s := range i.schedules {
		if s.IsIdle(now) {
			delete(i.schedules, k)
		}
	}
}

// Caller calls the issuer of another front.
type Caller interface {
	RequestPace(ctx context.Context, to follow.Front, r peers.PaceRequest) (peers.PaceReply, error)
}

// Pacer reserves requests of one front with the issuers of instances.
type Pacer struct {
	self   follow.Front
	state  func() *follow.State
	issuer *Issuer
	caller Caller
	log    *zap.SugaredLogger
	// shares are the schedules of this front's shares, for instances whose issuer does not answer.
	shares *Issuer
	mu     sync.Mutex
	// silentUntil are the issuers that did not answer, by the fronts' runs.
	silentUntil map[string]time.Time
}

// New returns a pacer; issuer keeps the schedules of this front.
func New(self follow.Front, state func() *follow.State, issuer *Issuer, c Caller, log *zap.SugaredLogger) *Pacer {
	return &Pacer{self: self, state: state, issuer: issuer, caller: c, log: log, shares: newShares(), silentUntil: map[string]time.Time{}}
}

// Reserve reserves one request to an instance that takes perSecond requests from all fronts, and
// returns the wait until it may be sent; ok is false if that is longer than maxWait.
func (p *Pacer) Reserve(ctx context.Context, k site.InstanceKey, perSecond float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	fronts := p.state().Fronts
	names := make([]string, 0, len(fronts))
	for name := range fronts {
		names = append(names, name)
	}
	r := peers.PaceRequest{Instance: k, PerSecond: perSecond, MaxWait: maxWait}
	name := pace.Issuer(k.ID, names)
	if name == "" || name == p.self.Name {
		reply := p.issuer.Reserve(r)
		return reply.Wait, reply.Reserved
	}
	if reply, ok := p.ask(ctx, fronts[name], r); ok {
		return reply.Wait, reply.Reserved
	}
	r.PerSecond /= float64(sharesPerFront * len(names))
	reply := p.shares.Reserve(r)
	return reply.Wait, reply.Reserved
}

// ask asks another front's issuer; false if it does not answer.
func (p *Pacer) ask(ctx context.Context, front follow.Front, r peers.PaceRequest) (peers.PaceReply, bool) {
	p.mu.Lock()
	silent := time.Now().Before(p.silentUntil[front.Run])
	p.mu.Unlock()
	if silent {
		return peers.PaceReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	reply, err := p.caller.RequestPace(callCtx, front, r)
	if err == nil {
		return reply, true
	}
	if ctx.Err() != nil {
		// The caller has left: nothing is known of the other front.
		return peers.PaceReply{}, true
	}
	p.log.Infow("front with an instance's schedule does not answer; using a share of the limit", "Front", front.Name, "Instance", r.Instance.ID, "Limit", r.PerSecond, "Error", err.Error())
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, until := range p.silentUntil {
		if time.Now().After(until) {
			delete(p.silentUntil, run)
		}
	}
	p.silentUntil[front.Run] = time.Now().Add(silentIssuerTime)
	return peers.PaceReply{}, false
}
