package tries

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

type phase int

const (
	pending phase = iota
	running
	ended
)

// Attempt is one dispatch of a request to this agent. It moves from pending to
// running to ended, or from pending to ended; only a pending one can be revoked.
type Attempt struct {
	Run  wire.Run
	Body []byte
	// Deadline is the caller's deadline on this agent's clock.
	Deadline time.Time
	Ctx      context.Context
	cancel   context.CancelCauseFunc
	// held is the registry's account of kept bytes.
	held *atomic.Int64

	mu     sync.Mutex
	phase  phase
	pieces []wire.Piece
	bytes  int
	digest *xxhash.Digest
	done   *wire.Done
	// endedAt is when the answer was closed.
	endedAt time.Time
	conn    *peer.Conn
	acked   bool
}

// collectFor is how long a stopping agent waits for an entry to collect an answer.
const collectFor = 5 * time.Second

// awaited reports whether the attempt runs or its answer may yet be collected.
func (a *Attempt) awaited(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase != ended || (!a.acked && now.Sub(a.endedAt) < collectFor)
}

// Begin moves a pending attempt to running; it reports false if the attempt was revoked.
func (a *Attempt) Begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != pending {
		return false
	}
	a.phase = running
	return true
}

// Emit adds a piece to the answer and sends it to the entry that is attached.
func (a *Attempt) Emit(tokens int, data []byte, head *wire.PlainHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := wire.Piece{Attempt: a.Run.Attempt, Seq: len(a.pieces), Tokens: tokens, Data: data, Head: head}
	a.pieces = append(a.pieces, p)
	a.bytes += len(data)
	a.held.Add(int64(len(data)))
	// A hash never fails to take bytes.
	_, _ = a.digest.Write(data)
	a.sendPiece(p)
}

// Finish closes the answer; later calls have no effect.
func (a *Attempt) Finish(d wire.Done) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(d)
}

func (a *Attempt) finish(d wire.Done) {
	if a.phase == ended {
		return
	}
	a.phase, a.endedAt = ended, time.Now()
	d.Attempt, d.Pieces, d.Digest = a.Run.Attempt, len(a.pieces), a.digest.Sum64()
	a.done = &d
	a.send(wire.MethodDone, d)
}

// send notifies the attached entry; a connection that fails is let go, and the entry asks again.
func (a *Attempt) send(method string, message any) {
	if a.conn == nil {
		return
	}
	if a.conn.Notify(method, message) != nil {
		a.conn = nil
	}
}

// sendPiece sends one piece to the attached entry.
func (a *Attempt) sendPiece(p wire.Piece) {
	if a.conn != nil && a.conn.Stream(wire.StreamPiece, &p) != nil {
		a.conn = nil
	}
}

// attach sends the answer from a piece on to a connection and keeps sending there.
func (a *Attempt) attach(c *peer.Conn, from int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	for _, p := range a.pieces[min(from, len(a.pieces)):] {
		a.sendPiece(p)
	}
	if a.done != nil {
		a.send(wire.MethodDone, *a.done)
	}
}

// revoke ends the attempt and reports whether it certainly did not run. One
// that runs is stopped only if it may be repeated.
func (a *Attempt) revoke() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	refused := fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)
	switch a.phase {
	case pending:
		a.finish(wire.Done{Refusal: refused})
		a.cancel(refused)
		return true
	case running:
		if a.Run.Plain == nil || a.Run.Plain.Idempotent {
			a.cancel(fault.Failed(fault.Canceled, "attempt %s was canceled while it ran", a.Run.Attempt))
		}
		return false
	}
	return a.done.Refusal != nil && a.done.Refusal.NotRun
}

// settled reports whether the attempt has ended and its answer need not be kept.
func (a *Attempt) settled(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == ended && (a.acked || now.After(a.Deadline.Add(keepPast)))
}

// acknowledge drops the answer.
func (a *Attempt) acknowledge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = true
	a.conn = nil
	a.drop()
}

// drop forgets the kept bytes.
func (a *Attempt) drop() {
	a.held.Add(-int64(a.bytes + len(a.Body)))
	a.pieces, a.Body, a.bytes = nil, nil, 0
}

// CutOff ends an attempt because its agent stops: one that did not run is
// refused as such, one that runs ends with an honest failure.
func (a *Attempt) CutOff() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.phase {
	case pending:
		refused := fault.NotRun(fault.Draining, "the agent stops before attempt %s began", a.Run.Attempt)
		a.finish(wire.Done{Refusal: refused})
		a.cancel(refused)
	case running:
		a.cancel(fault.Failed(fault.Draining, "the agent stops while attempt %s runs", a.Run.Attempt))
	}
}
