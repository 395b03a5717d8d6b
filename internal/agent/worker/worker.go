package worker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/agent/claim"
	"foxtailcroft/internal/agent/limit"
	"foxtailcroft/internal/agent/runs"
	"foxtailcroft/internal/agent/slots"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/fanout"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/plat/store"
)

// Worker executes the attempts of one agent.
type Worker struct {
	Self     plan.Node
	Holder   *view.Holder
	Registry *runs.Registry
	// Incarnation distinguishes this process from earlier ones with the same name.
	Incarnation int64
	Log         *zap.Logger
	// Slots and Engine are set if the agent's back end is a model engine.
	Slots  *slots.Manager
	Engine engine.Engine
	// Limiter, Plain and Store are set if it is a plain service.
	Limiter *limit.Limiter
	Plain   plain.Service
	Store   store.Store

	group    tasks.Group
	draining atomic.Bool
	mu       sync.Mutex
	// claimLogs holds the claim logs by partition, and stopFuncs the functions that stop them.
	claimLogs map[int]*claim.Log
	stopFuncs []func()
}

// Register adds the handlers of the worker's messages to a mux.
func (w *Worker) Register(mux *peer.Mux) {
	peer.OnNotification(mux, wire.MethodPart, func(_ *peer.Conn, p wire.Part) { w.Registry.AddPart(p) })
	peer.OnNotification(mux, wire.MethodAck, func(_ *peer.Conn, a wire.Ack) { w.Registry.Ack(a.Attempt) })
	peer.OnCall(mux, wire.MethodRun, w.handleRun)
	peer.OnCall(mux, wire.MethodRevoke, func(_ context.Context, _ *peer.Conn, r wire.Revoke) (wire.RevokeReply, error) {
		return wire.RevokeReply{NotRun: w.Registry.Revoke(r.Attempt) && r.Epoch == w.Incarnation}, nil
	})
}

// Drain makes the worker refuse attempts from now on, except those that an entry sends again.
func (w *Worker) Drain() {
	w.draining.Store(true)
}

// Draining reports whether new attempts are refused.
func (w *Worker) Draining() bool {
	return w.draining.Load()
}

// Close waits for the running attempts and stops the claim logs.
func (w *Worker) Close() {
	w.group.Close()
	w.mu.Lock()
	stops := w.stopFuncs
	w.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
}

// catchUpTimeout bounds the pull of a newer configuration that the caller already uses.
const catchUpTimeout = time.Second

// handleRun accepts or refuses an attempt; the answer of an accepted one follows
// as Piece and Done messages.
func (w *Worker) handleRun(ctx context.Context, c *peer.Conn, run wire.Run) (wire.RunReply, error) {
	if run.Resent && run.Epoch != w.Incarnation {
		return w.runReply(run, fault.Failed(fault.EndpointLost, "endpoint %q has restarted since attempt %s was sent", w.Self.Name, run.Attempt)), nil
	}
	if run.Revision > w.Holder.View().Revision() {
		w.catchUp(ctx, c)
	}
	if w.draining.Load() && !run.Resent {
		return w.runReply(run, fault.NotRun(fault.Draining, "endpoint %q is leaving", w.Self.Name)), nil
	}
	a, fresh, err := w.Registry.Open(c, run)
	if err != nil {
		return w.runReply(run, fault.AsRefusal(err)), nil
	}
	if fresh && !w.group.Go(func() { w.execute(a) }) {
		a.Abort()
	}
	return w.runReply(run, nil), nil
}

// runReply returns the reply to a Run; refusal is nil if the attempt was accepted.
func (w *Worker) runReply(run wire.Run, refusal *fault.Refusal) wire.RunReply {
	return wire.RunReply{Refusal: refusal, Load: w.currentLoad(run), Revision: w.Holder.View().Revision(), Epoch: w.Incarnation}
}

// catchUp pulls the configuration from the sender of a message, which uses a newer revision.
func (w *Worker) catchUp(ctx context.Context, c *peer.Conn) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := fanout.Pull(ctx, c, w.Holder, fanout.PullOptions{}); err != nil {
		w.Log.Info("pulling a newer configuration from the caller failed; continuing with the old one", zap.String("From", c.RemoteHello().Node), zap.Error(err))
	}
}

// currentLoad returns the load of what the attempt runs on.
func (w *Worker) currentLoad(run wire.Run) wire.Load {
	if w.Limiter != nil {
		return w.Limiter.Load()
	}
	return w.Slots.ReplicaLoad(run.Model)
}

// execute runs a new attempt to its end.
func (w *Worker) execute(a *runs.Attempt) {
	ctx, cancel := context.WithDeadline(a.Ctx, a.Deadline)
	defer cancel()
	var d wire.Done
	switch {
	case a.Run.Service != "" && w.Limiter != nil && a.Run.Service == w.Self.Service:
		d = w.callService(ctx, a)
	case a.Run.Service == "" && w.Slots != nil:
		d = w.generate(ctx, a)
	default:
		d.Refusal = fault.NotRun(fault.NoSlot, "endpoint %q does not serve %q", w.Self.Name, a.Run.Service+a.Run.Model)
	}
	d.Load = w.currentLoad(a.Run)
	d.Revision = w.Holder.View().Revision()
	a.Finish(d)
}
