package sched

import (
	"context"
	"time"

	"foxtailcroft/internal/base/sleep"
)

const (
	// outagePollInterval is the pause between two questions to the other fronts.
	outagePollInterval = 200 * time.Millisecond
	// outageCallTimeout bounds one question.
	outageCallTimeout = 200 * time.Millisecond
	// outageHold is how long the fronts' answers let the planner give orders.
	outageHold = 500 * time.Millisecond
	// orderLatency bounds the time from the decision to send an order until a server has it.
	orderLatency = 500 * time.Millisecond
	// recentOutage is the time after an outage in which other fronts may still take the store
	// for unavailable.
	recentOutage = time.Second
)

// Witnesses tells whether all other fronts find the store unavailable and the planner unchanged.
type Witnesses interface {
	ConfirmOutage(ctx context.Context, fence int64) bool
}

// SetWitnesses sets whom RunOutageCheck asks; call it before Run.
func (l *Candidate) SetWitnesses(w Witnesses) {
	l.witnesses = w
}

// RunOutageCheck lets the planner of servers that don't check fencing tokens go on while no
// front reaches the store, since none can have claimed the planner's key then.
func (l *Candidate) RunOutageCheck(ctx context.Context) {
	for sleep.For(ctx, outagePollInterval) {
		p := l.site.State().Planner
		if p == nil || p.Run != l.Self.Run || !l.renewalOverdue() {
			continue
		}
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, outageCallTimeout)
		confirmed := l.witnesses.ConfirmOutage(callCtx, p.FencingToken)
		cancel()
		l.mu.Lock()
		before := l.outageConfirmedAt
		if confirmed {
			l.outageConfirmedAt = asked
		}
		l.mu.Unlock()
		if held := asked.Sub(before) < 2*outageHold; confirmed != held {
			l.log.Infow("asked all fronts whether the store is away", "Confirmed", confirmed, "Fence", p.FencingToken)
		}
	}
}

// renewalOverdue reports whether the lease was not renewed for half of its TTL.
func (l *Candidate) renewalOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.renewedAt) > l.ttl/2
}

// ConfirmOutage reports whether this front finds the store unavailable and knows no other
// planner than the one with the fencing token. That one may then give orders for outageHold;
// should this front succeed it, its hand-over begins after that.
func (l *Candidate) ConfirmOutage(fence int64) bool {
	p := l.site.State().Planner
	if p == nil || p.FencingToken != fence || p.Run == l.Self.Run || !l.site.Unavailable(0) && !l.renewalOverdue() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedUntil = time.Now().Add(outageHold + orderLatency)
	return true
}
