package calls

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// acceptTimeout bounds an agent's reply to a Run, which it sends without waiting for anything.
	acceptTimeout = 1500 * time.Millisecond
	// reattachWindow is how long the entry tries to reconnect to an unresponsive
	// endpoint before it sends an idempotent request to another one.
	reattachWindow = 3 * time.Second
	// reattachInterval is the pause between those tries.
	reattachInterval = 100 * time.Millisecond
)

// outcome is the result of an attempt: a whole answer if refusal is nil.
type outcome struct {
	done    wire.Done
	refusal *fault.Refusal
}

func refused(r *fault.Refusal) outcome {
	return outcome{refusal: r}
}

// attempt is one dispatch of a request to one endpoint. It survives the loss of
// a connection: the entry reconnects and resumes the answer.
type attempt struct {
	dispatcher *Dispatcher
	req        Request
	node       plan.Node
	run        wire.Run
	inbox      *inbox
	progress   *progress
	sink       Sink
	conn       *peer.Conn
	// endConnWork marks conn as having no more work for this attempt.
	endConnWork func()
	// sent is true once the agent may have received the Run.
	sent bool
	// settleMargin is the time between the context's deadline and the caller's,
	// in which the attempt is revoked.
	settleMargin time.Duration
}

// runAttempt sends a request to a node and returns the outcome.
func (d *Dispatcher) runAttempt(ctx context.Context, req Request, node plan.Node, delivered *progress, sink Sink, settleMargin time.Duration) (out outcome) {
	a := &attempt{dispatcher: d, req: req, node: node, inbox: newInbox(req.PlainCall != nil, req.AnswerMemory), progress: delivered, sink: sink, endConnWork: func() {}, settleMargin: settleMargin}
	a.run = wire.Run{
		Attempt: uuid.NewString(), Request: req.ID, Class: req.Class, Model: req.Target.Model, Adapter: req.Adapter,
		Service: req.Target.Service, Plain: req.PlainCall, Key: req.IdempotencyKey, BodyBytes: len(req.Body),
		Resume: wire.Resume{Tokens: delivered.tokens, Text: delivered.text.String()},
	}
	d.mu.Lock()
	d.inboxes[a.run.Attempt] = a.inbox
	d.mu.Unlock()
	release := d.table.TrackSent(node.Name, req.Target)
	defer func() {
		release()
		a.endConnWork()
		a.inbox.close(out.refusal == nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.inboxes, a.run.Attempt)
	}()
	return a.sendAndReceive(ctx)
}

// sendAndReceive sends the attempt and receives its answer, reconnecting when
// the connection is lost or pieces are missing.
func (a *attempt) sendAndReceive(ctx context.Context) outcome {
	if out, ok := a.connect(ctx); !ok {
		return out
	}
	for {
		select {
		case <-a.inbox.changed:
		case <-a.conn.Done():
			if out, ok := a.connect(ctx); !ok {
				return out
			}
			continue
		case <-ctx.Done():
			return a.settle(ctx)
		}
		pieces, done, missing := a.inbox.takeNew()
		if err := a.deliver(pieces); err != nil {
			return a.abandon(fault.Failed(fault.Canceled, "the caller has gone: %v", err))
		}
		if missing {
			if out, ok := a.fetchMissing(ctx); !ok {
				return out
			}
			continue
		}
		if done != nil {
			return a.finishAnswer(ctx, done, pieces)
		}
	}
}

// deliver passes tokens to the caller as they arrive; a plain service's answer is delivered as a whole by
// finishAnswer. An error means that the caller has gone.
func (a *attempt) deliver(pieces []wire.Piece) error {
	if a.req.PlainCall != nil {
		return nil
	}
	for _, p := range pieces {
		if err := a.sink.WritePiece(p); err != nil {
			return err
		}
		a.progress.tokens += p.Tokens
		a.progress.text.Write(p.Data)
	}
	return nil
}

const (
	// minMemoryDelay and maxMemoryDelay bound the exponential backoff between tries to get memory for an answer.
	minMemoryDelay = 100 * time.Millisecond
	maxMemoryDelay = time.Second
)

// fetchMissing has the agent send the missing pieces again. If the attempt has ended instead, ok is false and out
// is its outcome.
func (a *attempt) fetchMissing(ctx context.Context) (out outcome, ok bool) {
	if out, ok := a.awaitMemory(ctx); !ok {
		return out, false
	}
	return a.connect(ctx)
}

// awaitMemory waits for the memory of an answer that was dropped for want of it, which the agent keeps
// meanwhile. If the attempt has ended instead, ok is false and out is its outcome.
func (a *attempt) awaitMemory(ctx context.Context) (out outcome, ok bool) {
	n := a.inbox.missingBytes()
	if n == 0 {
		return outcome{}, true
	}
	memory := a.req.AnswerMemory
	if n > memory.Limit() {
		return a.abandon(fault.Failed(fault.Overloaded, "an answer of about %d bytes exceeds the memory for answers", n)), false
	}
	for delay := minMemoryDelay; memory.Grow(n) != nil; delay = min(maxMemoryDelay, 2*delay) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return a.settle(ctx), false
		}
	}
	a.inbox.acceptAgain(n)
	return outcome{}, true
}

// finishAnswer acknowledges the end of the answer, verifies the answer, and
// delivers a plain service's whole answer.
func (a *attempt) finishAnswer(ctx context.Context, done *wire.Done, pieces []wire.Piece) outcome {
	// If the acknowledgement is lost, the agent keeps the answer until the deadline.
	_ = a.conn.Notify(wire.MethodAck, wire.Ack{Attempt: a.run.Attempt})
	a.dispatcher.table.RecordLoad(a.node.Name, a.req.Target, done.Load)
	if done.Refusal != nil {
		a.dispatcher.catchUp(ctx, a.conn, done.Revision)
		return refused(done.Refusal)
	}
	if mismatch := a.inbox.verify(done); mismatch != nil {
		return refused(mismatch)
	}
	if a.req.PlainCall == nil {
		return outcome{done: *done}
	}
	for _, p := range pieces {
		if err := a.sink.WritePiece(p); err != nil {
			return refused(fault.Failed(fault.Canceled, "the caller has gone: %v", err))
		}
	}
	return outcome{done: *done}
}

// connect sends the attempt, or resumes it on a new connection if it was sent
// before. If the attempt has ended instead, ok is false and out is its outcome.
func (a *attempt) connect(ctx context.Context) (out outcome, ok bool) {
	giveUpAt := time.Now().Add(reattachWindow)
	for {
		err := a.connectOnce(ctx)
		if err == nil {
			return outcome{}, true
		}
		var r *fault.Refusal
		if errors.As(err, &r) {
			return refused(r), false
		}
		a.dispatcher.table.MarkUnreachable(a.node.Name)
		if !a.sent {
			return refused(fault.NotRun(fault.EndpointLost, "endpoint %q cannot be reached: %v", a.node.Name, err)), false
		}
		if ctx.Err() != nil {
			return a.settle(ctx), false
		}
		if a.req.idempotent() && time.Now().After(giveUpAt) {
			return refused(fault.Failed(fault.EndpointLost, "endpoint %q fell silent: %v", a.node.Name, err)), false
		}
		select {
		case <-time.After(reattachInterval):
		case <-ctx.Done():
		}
	}
}

// connectOnce tries once to send the attempt. A *fault.Refusal ends the attempt;
// after any other error, connect may try again.
func (a *attempt) connectOnce(ctx context.Context) error {
	conn, err := a.dispatcher.pool.Get(ctx, a.node.Address)
	if err != nil {
		return err
	}
	remote := conn.RemoteHello()
	if remote.Node != a.node.Name {
		return &peer.ConnError{Address: a.node.Address, Err: errors.New("the address belongs to " + remote.Node)}
	}
	if a.sent && remote.Epoch != a.run.Epoch {
		return fault.Failed(fault.EndpointLost, "endpoint %q has restarted since the attempt was sent", a.node.Name)
	}
	a.run.Epoch, a.run.Resent = remote.Epoch, a.sent
	a.endConnWork()
	a.conn, a.endConnWork = conn, conn.BeginWork()
	a.sent = true
	return a.send(ctx, conn)
}

// send sends the body in parts and then the Run, and waits for the agent to
// accept it. It drops a connection on which the agent doesn't reply in time.
func (a *attempt) send(ctx context.Context, conn *peer.Conn) error {
	for offset := 0; offset < len(a.req.Body); offset += wire.MaxPartBytes {
		part := wire.Part{Attempt: a.run.Attempt, Offset: offset, Data: a.req.Body[offset:min(offset+wire.MaxPartBytes, len(a.req.Body))]}
		if err := conn.Notify(wire.MethodPart, part); err != nil {
			return err
		}
	}
	deadline, _ := ctx.Deadline()
	a.run.Remaining = time.Until(deadline)
	a.run.From = a.inbox.resumeSeq()
	a.run.Revision = a.dispatcher.holder.View().Revision()
	acceptCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var reply wire.RunReply
	if err := conn.Call(acceptCtx, wire.MethodRun, a.run, &reply); err != nil {
		if ctx.Err() == nil && acceptCtx.Err() != nil {
			a.dispatcher.pool.Disconnect(conn)
		}
		return err
	}
	a.dispatcher.table.RecordLoad(a.node.Name, a.req.Target, reply.Load)
	if reply.Refusal != nil {
		a.dispatcher.catchUp(ctx, conn, reply.Revision)
		return reply.Refusal
	}
	return nil
}

// ShutdownError is the cancellation cause of requests that are still in flight when the entry shuts down.
type ShutdownError struct{}

// Error implements error.
func (*ShutdownError) Error() string {
	return "entry shut down before the request ended"
}

// settle ends an attempt whose context is done. At the deadline or the entry's
// shutdown it revokes the attempt to find out whether it certainly didn't run; if
// the caller has gone, it abandons the attempt.
func (a *attempt) settle(ctx context.Context) outcome {
	var shutdown *ShutdownError
	if errors.Is(ctx.Err(), context.Canceled) && !errors.As(context.Cause(ctx), &shutdown) {
		return a.abandon(fault.Failed(fault.Canceled, "the caller has gone"))
	}
	if a.revoke(a.settleMargin / 2) {
		return refused(fault.NotRun(fault.DeadlineExceeded, "endpoint %q did not begin the request in time", a.node.Name))
	}
	return refused(fault.Failed(fault.DeadlineExceeded, "endpoint %q did not answer in time", a.node.Name))
}

// abandonTimeout bounds the revocation of an attempt whose caller has gone.
const abandonTimeout = 2 * time.Second

// abandon revokes the attempt in the background and returns the refusal.
func (a *attempt) abandon(r *fault.Refusal) outcome {
	a.dispatcher.background.Go(func() { a.revoke(abandonTimeout) })
	return refused(r)
}

// revoke asks the agent to cancel the attempt and reports whether the agent
// confirmed that it did not run.
func (a *attempt) revoke(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply wire.RevokeReply
	err := a.conn.Call(ctx, wire.MethodRevoke, wire.Revoke{Attempt: a.run.Attempt, Epoch: a.run.Epoch}, &reply)
	return err == nil && reply.NotRun
}
