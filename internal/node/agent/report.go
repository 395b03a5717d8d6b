package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

// report returns the agent's state.
func (a *Agent) report(context.Context, *peer.Conn, struct{}) (wire.Report, error) {
	r := wire.Report{
		Node: a.Member.Self.Name, Epoch: a.guard.Epoch(), Revision: a.Member.Holder.View().Revision(), Leaving: a.Worker.Draining(),
	}
	if a.Slots != nil {
		a.Slots.FillReport(&r)
	} else {
		r.Queued = a.limiter.Load().Queued
	}
	return r, nil
}

// planWaitTimeout bounds the wait for the plan revision that a release request refers to.
const planWaitTimeout = 800 * time.Millisecond

// confirmRelease tells whether a slot is released under a plan at least as new
// as the planner's. A released slot stays released: the agent's view never goes
// back to an older revision, and a successor reads the plan from the store
// before it loads any model.
func (a *Agent) confirmRelease(ctx context.Context, _ *peer.Conn, r wire.Release) (wire.ReleaseReply, error) {
	if a.Slots == nil {
		return wire.ReleaseReply{Reason: "no model engine here"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, planWaitTimeout)
	defer cancel()
	if err := a.Member.Holder.WaitNewer(ctx, r.Revision-1); err != nil {
		return wire.ReleaseReply{Reason: "the plan has not arrived"}, nil
	}
	released, reason := a.Slots.IsReleased(r.Model, r.Number)
	a.log.Info("slot release requested", zap.String("Model", r.Model), zap.Int64("Number", r.Number), zap.Bool("Released", released), zap.String("Reason", reason))
	return wire.ReleaseReply{Released: released, Reason: reason}, nil
}
