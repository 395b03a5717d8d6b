package calls

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/fanout"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/retry"
)

// Dispatcher sends requests to endpoints, retries them, and relays their answers.
type Dispatcher struct {
	holder     *view.Holder
	pool       *peer.Pool
	table      *route.Table
	log        *zap.Logger
	background tasks.Group
	// lateAnswers counts the messages that arrive for attempts that have ended,
	// repeatedAttempts the attempts charged to the retry budget.
	lateAnswers      *metrics.Counter
	repeatedAttempts *metrics.Counter

	mu sync.Mutex
	// inboxes holds the running attempts by ID.
	inboxes     map[string]*inbox
	retryBudget retry.Budget
	// pullingFrom holds the peer addresses from which configuration is being pulled.
	pullingFrom map[string]bool
}

// New returns a dispatcher whose message handlers are registered on the mux,
// and a function that waits for its background work to end.
func New(holder *view.Holder, pool *peer.Pool, mux *peer.Mux, table *route.Table, set *metrics.Set, log *zap.Logger) (*Dispatcher, func()) {
	d := &Dispatcher{
		holder: holder, pool: pool, table: table, log: log,
		lateAnswers:      set.GetOrCreateCounter("foxtailcroft_late_answers_dropped_total"),
		repeatedAttempts: set.GetOrCreateCounter("foxtailcroft_repeated_attempts_total"),
		inboxes:          map[string]*inbox{}, retryBudget: retry.NewBudget(), pullingFrom: map[string]bool{},
	}
	peer.OnStream(mux, wire.StreamKindPiece, func(_ *peer.Conn, p wire.Piece) {
		if i := d.inboxOf(p.Attempt); i != nil {
			i.addPiece(p)
		}
	})
	peer.OnNotification(mux, wire.MethodDone, func(_ *peer.Conn, done wire.Done) {
		if i := d.inboxOf(done.Attempt); i != nil {
			i.setDone(done)
		}
	})
	peer.OnNotification(mux, wire.MethodLeaving, func(_ *peer.Conn, l wire.Leaving) { table.MarkLeaving(l.Node, l.Epoch) })
	return d, d.background.Close
}

// inboxOf returns the inbox of a running attempt. For an attempt that has ended
// it counts a late answer and returns nil.
func (d *Dispatcher) inboxOf(attempt string) *inbox {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.inboxes[attempt]
	if i == nil {
		d.lateAnswers.Inc()
	}
	return i
}

// progress is the part of the answer that the attempts of one request have
// delivered so far; the next attempt resumes after it.
type progress struct {
	tokens int
	text   strings.Builder
}

// Do dispatches a request until it is answered or refused. The error is nil if
// the sink received a whole answer, else a *fault.Refusal.
func (d *Dispatcher) Do(ctx context.Context, req Request, sink Sink) (Result, error) {
	settleMargin := retry.DeadlineMargin(time.Until(req.Deadline))
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(-settleMargin))
	defer cancel()
	d.earnRetryBudget()
	s := &endpointSearch{tried: map[string]bool{}, delay: minSearchDelay}
	delivered := &progress{}
	var res Result
	for res.Attempts < retry.MaxAttempts && s.nextEndpoint(ctx, d, req) {
		res.Attempts++
		out := d.runAttempt(ctx, req, s.node, delivered, sink, settleMargin)
		if out.refusal == nil {
			res.Endpoint, res.FinishReason, res.ColdStart, res.Replayed = s.node.Name, out.done.Finish, out.done.Cold, out.done.Replayed
			return res, nil
		}
		s.recordRefusal(out.refusal)
		if ctx.Err() != nil || (!s.lastRefusal.NotRun && !req.idempotent()) || isFinal(out.refusal.Code) {
			break
		}
	}
	return res, s.finalRefusal(ctx, req)
}

// isFinal reports whether every other endpoint would refuse with the same code.
func isFinal(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.KeyReused, fault.Canceled:
		return true
	}
	return false
}

// earnRetryBudget credits the retry budget for one new request.
func (d *Dispatcher) earnRetryBudget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget = d.retryBudget.Earned()
}

// spendRetry takes one retry from the budget and reports whether there was one left.
func (d *Dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, ok := d.retryBudget.Spent()
	d.retryBudget = next
	if ok {
		d.repeatedAttempts.Inc()
	}
	return ok
}

// catchUp pulls the configuration from a peer whose revision is newer than the
// entry's. It does nothing while another pull from the same peer is running.
func (d *Dispatcher) catchUp(ctx context.Context, c *peer.Conn, revision int64) {
	if revision <= d.holder.View().Revision() {
		return
	}
	d.mu.Lock()
	pulling := d.pullingFrom[c.Address()]
	d.pullingFrom[c.Address()] = true
	d.mu.Unlock()
	if pulling {
		return
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pullingFrom, c.Address())
	}()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := fanout.Pull(ctx, c, d.holder, fanout.PullOptions{}); err != nil {
		d.log.Info("configuration pull from a newer peer failed; the entry keeps its revision", zap.String("From", c.RemoteHello().Node), zap.Error(err))
	}
}

// catchUpTimeout bounds the pull of configuration that an endpoint already applies.
const catchUpTimeout = time.Second
