package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

// report answers with the agent's state.
func (a *Agent) report(context.Context, *peer.Conn, struct{}) (wire.Report, error) {
	r := wire.Report{
		Node: a.Member.Self.Name, Epoch: a.guard.Epoch(), Revision: a.Member.Holder.View().Revision(), Leaving: a.Worker.Draining(),
	}
	if a.Slots != nil {
		a.Slots.Describe(&r)
	} else {
		r.Queued = a.gate.Load().Queued
	}
	return r, nil
}

// viewTimeout bounds the wait for the plan that a release refers to.
const viewTimeout = 800 * time.Millisecond

// release confirms that a slot is released under a plan at least as new as the
// planner's. The agent's view never goes back, and a successor reads the plan
// from the store before it wakes anything, so a confirmed slot stays released.
func (a *Agent) release(ctx context.Context, _ *peer.Conn, r wire.Release) (wire.ReleaseReply, error) {
	if a.Slots == nil {
		return wire.ReleaseReply{Reason: "no model engine here"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if err := a.Member.Holder.Wait(ctx, r.Revision-1); err != nil {
		return wire.ReleaseReply{Reason: "the plan has not arrived"}, nil
	}
	released, reason := a.Slots.Released(r.Model, r.Number)
	a.log.Info("release asked", zap.String("Model", r.Model), zap.Int64("Number", r.Number), zap.Bool("Released", released), zap.String("Reason", reason))
	return wire.ReleaseReply{Released: released, Reason: reason}, nil
}
