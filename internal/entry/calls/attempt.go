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
	// acceptTimeout is how long an agent may take to accept an attempt, which it does without waiting for anything.
	acceptTimeout = 1500 * time.Millisecond
	// reattachFor is how long an endpoint that fell silent is tried before a repeatable request goes elsewhere.
	reattachFor = 3 * time.Second
	// reattachPause separates the tries.
	reattachPause = 100 * time.Millisecond
)

// outcome is how an attempt ended: an answer if refusal is nil.
type outcome struct {
	done    wire.Done
	refusal *fault.Refusal
}

func refused(r *fault.Refusal) outcome {
	return outcome{refusal: r}
}

// attempt is one dispatch of a request to one endpoint, over as many connections as it takes.
type attempt struct {
	d    *Dispatcher
	req  Request
	node plan.Node
	run  wire.Run
	in   *inbox
	prog *progress
	sink Sink
	// held are the pieces of a plain service's answer, passed on once it is whole.
	held []wire.Piece
	conn *peer.Conn
	end  func()
	sent bool
	// margin is the time left for settling after the context's deadline.
	margin time.Duration
}

// attempt runs one attempt to its end.
func (d *Dispatcher) attempt(ctx context.Context, req Request, node plan.Node, prog *progress, sink Sink, margin time.Duration) outcome {
	a := &attempt{d: d, req: req, node: node, in: newInbox(), prog: prog, sink: sink, end: func() {}, margin: margin}
	a.run = wire.Run{
		Attempt: uuid.NewString(), Request: req.ID, Class: req.Class, Model: req.Target.Model, Adapter: req.Adapter,
		Service: req.Target.Service, Plain: req.Plain, Key: req.Key, BodyBytes: len(req.Body),
		Resume: wire.Resume{Tokens: prog.tokens, Text: prog.text.String()},
	}
	d.mu.Lock()
	d.inboxes[a.run.Attempt] = a.in
	d.mu.Unlock()
	release := d.table.TrackSent(node.Name, req.Target)
	defer func() {
		release()
		a.end()
		a.in.close()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.inboxes, a.run.Attempt)
	}()
	return a.collect(ctx)
}

// collect sends the attempt and takes in its answer.
func (a *attempt) collect(ctx context.Context) outcome {
	if out, ok := a.connect(ctx); !ok {
		return out
	}
	for {
		select {
		case <-a.in.signal:
		case <-a.conn.Done():
			if out, ok := a.connect(ctx); !ok {
				return out
			}
			continue
		case <-ctx.Done():
			return a.settle(ctx)
		}
		pieces, done, missing := a.in.take()
		if err := a.pass(pieces); err != nil {
			return a.abandon(fault.Failed(fault.Canceled, "the caller has gone: %v", err))
		}
		if missing {
			if out, ok := a.connect(ctx); !ok {
				return out
			}
			continue
		}
		if done != nil {
			return a.finish(ctx, done)
		}
	}
}

// pass hands tokens to the caller as they come, and holds a plain service's answer back until it is whole.
func (a *attempt) pass(pieces []wire.Piece) error {
	if a.req.Plain != nil {
		a.held = append(a.held, pieces...)
		return nil
	}
	for _, p := range pieces {
		if err := a.sink.Piece(p); err != nil {
			return err
		}
		a.prog.tokens += p.Tokens
		a.prog.text.Write(p.Data)
	}
	return nil
}

// finish takes in the end of the answer.
func (a *attempt) finish(ctx context.Context, done *wire.Done) outcome {
	// An agent that is not told keeps the answer until its deadline.
	_ = a.conn.Notify(wire.MethodAck, wire.Ack{Attempt: a.run.Attempt})
	a.d.table.RecordLoad(a.node.Name, a.req.Target, done.Load)
	if done.Refusal != nil {
		a.d.follow(ctx, a.conn, done.Revision)
		return refused(done.Refusal)
	}
	if bad := a.in.verify(done); bad != nil {
		return refused(bad)
	}
	for _, p := range a.held {
		if err := a.sink.Piece(p); err != nil {
			return refused(fault.Failed(fault.Canceled, "the caller has gone: %v", err))
		}
	}
	return outcome{done: *done}
}

// connect sends the attempt, or asks after it on a new connection if it was
// sent before. ok is false if the attempt has ended instead.
func (a *attempt) connect(ctx context.Context) (out outcome, ok bool) {
	until := time.Now().Add(reattachFor)
	for {
		err := a.connectOnce(ctx)
		if err == nil {
			return outcome{}, true
		}
		var r *fault.Refusal
		if errors.As(err, &r) {
			return refused(r), false
		}
		a.d.table.MarkUnreachable(a.node.Name)
		if !a.sent {
			return refused(fault.NotRun(fault.EndpointLost, "endpoint %q cannot be reached: %v", a.node.Name, err)), false
		}
		if ctx.Err() != nil {
			return a.settle(ctx), false
		}
		if a.req.idempotent() && time.Now().After(until) {
			return refused(fault.Failed(fault.EndpointLost, "endpoint %q fell silent: %v", a.node.Name, err)), false
		}
		select {
		case <-time.After(reattachPause):
		case <-ctx.Done():
		}
	}
}

// connectOnce makes one try to send the attempt; a *fault.Refusal ends it.
func (a *attempt) connectOnce(ctx context.Context) error {
	conn, err := a.d.pool.Get(ctx, a.node.Address)
	if err != nil {
		return err
	}
	remote := conn.Remote()
	if remote.Node != a.node.Name {
		return &peer.Lost{Address: a.node.Address, Err: errors.New("the address belongs to " + remote.Node)}
	}
	if a.sent && remote.Epoch != a.run.Epoch {
		return fault.Failed(fault.EndpointLost, "endpoint %q has restarted since the attempt was sent", a.node.Name)
	}
	a.run.Epoch, a.run.Resent = remote.Epoch, a.sent
	a.end()
	a.conn, a.end = conn, conn.Begin()
	a.sent = true
	return a.send(ctx, conn)
}

// send passes the body and the Run and waits for the agent to accept.
func (a *attempt) send(ctx context.Context, conn *peer.Conn) error {
	for at := 0; at < len(a.req.Body); at += wire.PartBytes {
		part := wire.Part{Attempt: a.run.Attempt, Offset: at, Data: a.req.Body[at:min(at+wire.PartBytes, len(a.req.Body))]}
		if err := conn.Notify(wire.MethodPart, part); err != nil {
			return err
		}
	}
	deadline, _ := ctx.Deadline()
	a.run.Remaining = time.Until(deadline)
	a.run.From = a.in.from()
	a.run.Revision = a.d.holder.View().Revision()
	accept, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var reply wire.RunReply
	if err := conn.Call(accept, wire.MethodRun, a.run, &reply); err != nil {
		if ctx.Err() == nil && accept.Err() != nil {
			a.d.pool.Drop(conn)
		}
		return err
	}
	a.d.table.RecordLoad(a.node.Name, a.req.Target, reply.Load)
	if reply.Refusal != nil {
		a.d.follow(ctx, conn, reply.Revision)
		return reply.Refusal
	}
	return nil
}

// CutOff is the cause of a context that ends because the entry stops.
type CutOff struct{}

// Error says why the request ended.
func (*CutOff) Error() string {
	return "the entry stops before the request has ended"
}

// settle ends an attempt whose time is up: revoked before it ran, or not known to have.
func (a *attempt) settle(ctx context.Context) outcome {
	var cut *CutOff
	if errors.Is(ctx.Err(), context.Canceled) && !errors.As(context.Cause(ctx), &cut) {
		return a.abandon(fault.Failed(fault.Canceled, "the caller has gone"))
	}
	if a.revoke(a.margin / 2) {
		return refused(fault.NotRun(fault.DeadlineExceeded, "endpoint %q did not begin the request in time", a.node.Name))
	}
	return refused(fault.Failed(fault.DeadlineExceeded, "endpoint %q did not answer in time", a.node.Name))
}

// abandonTimeout bounds the revocation of an attempt nobody waits for.
const abandonTimeout = 2 * time.Second

// abandon revokes the attempt without waiting for it.
func (a *attempt) abandon(r *fault.Refusal) outcome {
	a.d.group.Go(func() { a.revoke(abandonTimeout) })
	return refused(r)
}

// revoke asks the agent to end the attempt and reports whether it certainly did not run.
func (a *attempt) revoke(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply wire.RevokeReply
	err := a.conn.Call(ctx, wire.MethodRevoke, wire.Revoke{Attempt: a.run.Attempt, Epoch: a.run.Epoch}, &reply)
	return err == nil && reply.NotRun
}
