package calls

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/crew"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/spread"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/retry"
)

// Dispatcher sends requests to endpoints and settles them.
type Dispatcher struct {
	holder *view.Holder
	pool   *peer.Pool
	table  *route.Table
	log    *zap.Logger
	group  crew.Group
	late   *metrics.Counter
	again  *metrics.Counter

	mu      sync.Mutex
	inboxes map[string]*inbox
	budget  retry.Budget
	pulling map[string]bool
}

// New returns a dispatcher, registered on the mux of the pool, and the function that waits for its work.
func New(holder *view.Holder, pool *peer.Pool, mux *peer.Mux, table *route.Table, set *metrics.Set, log *zap.Logger) (*Dispatcher, func()) {
	d := &Dispatcher{
		holder: holder, pool: pool, table: table, log: log,
		late:    set.GetOrCreateCounter("foxtailcroft_late_answers_dropped_total"),
		again:   set.GetOrCreateCounter("foxtailcroft_repeated_attempts_total"),
		inboxes: map[string]*inbox{}, budget: retry.NewBudget(), pulling: map[string]bool{},
	}
	peer.OnStream(mux, wire.StreamPiece, func(_ *peer.Conn, p wire.Piece) {
		if i := d.inbox(p.Attempt); i != nil {
			i.piece(p)
		}
	})
	peer.OnNote(mux, wire.MethodDone, func(_ *peer.Conn, done wire.Done) {
		if i := d.inbox(done.Attempt); i != nil {
			i.finish(done)
		}
	})
	peer.OnNote(mux, wire.MethodLeaving, func(_ *peer.Conn, l wire.Leaving) { table.MarkLeaving(l.Node, l.Epoch) })
	return d, d.group.Close
}

// inbox returns an attempt's inbox, or counts a message for an attempt that is over.
func (d *Dispatcher) inbox(attempt string) *inbox {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.inboxes[attempt]
	if i == nil {
		d.late.Inc()
	}
	return i
}

// progress is what the attempts of one request have delivered so far.
type progress struct {
	tokens int
	text   strings.Builder
}

// Do carries a request to its end: nil for a whole answer passed to the sink, else a *fault.Refusal.
func (d *Dispatcher) Do(ctx context.Context, req Request, sink Sink) (Result, error) {
	margin := retry.Margin(time.Until(req.Deadline))
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(-margin))
	defer cancel()
	d.earn()
	s := &search{tried: map[string]bool{}, pause: firstPause}
	prog := &progress{}
	var res Result
	for res.Attempts < retry.MaxAttempts && s.next(ctx, d, req) {
		res.Attempts++
		out := d.attempt(ctx, req, s.node, prog, sink, margin)
		if out.refusal == nil {
			res.Endpoint, res.Finish, res.Cold, res.Replayed = s.node.Name, out.done.Finish, out.done.Cold, out.done.Replayed
			return res, nil
		}
		s.failed(out.refusal)
		if ctx.Err() != nil || (!s.last.NotRun && !req.idempotent()) || final(out.refusal.Code) {
			break
		}
	}
	return res, s.refusal(ctx, req)
}

// final reports whether no other endpoint would answer differently.
func final(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.KeyReused, fault.Canceled:
		return true
	}
	return false
}

func (d *Dispatcher) earn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget = d.budget.Earned()
}

// spend takes one repeat from the budget.
func (d *Dispatcher) spend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, ok := d.budget.Spent()
	d.budget = next
	if ok {
		d.again.Inc()
	}
	return ok
}

// follow pulls newer configuration from a connection, once at a time for each.
func (d *Dispatcher) follow(ctx context.Context, c *peer.Conn, revision int64) {
	if revision <= d.holder.View().Revision() {
		return
	}
	d.mu.Lock()
	busy := d.pulling[c.Address()]
	d.pulling[c.Address()] = true
	d.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pulling, c.Address())
	}()
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if err := spread.Pull(ctx, c, d.holder, spread.Pulled{}); err != nil {
		d.log.Info("catching up failed", zap.String("From", c.Remote().Node), zap.Error(err))
	}
}

// followTimeout bounds the pull of configuration that an endpoint already acts on.
const followTimeout = time.Second
