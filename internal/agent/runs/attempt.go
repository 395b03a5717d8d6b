package runs

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

// phase is the state of an attempt.
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
	// Deadline is the caller's deadline by this agent's clock.
	Deadline time.Time
	// Ctx is canceled, with a *fault.Refusal as its cause, to stop the attempt on a revocation or Abort.
	Ctx    context.Context
	cancel context.CancelCauseFunc
	// memory is charged for the body and the answer.
	memory *Memory

	mu     sync.Mutex
	phase  phase
	pieces []wire.Piece
	// answerBytes is the size of the data in pieces.
	answerBytes int
	digest      *xxhash.Digest
	done        *wire.Done
	// endedAt is when the answer was completed.
	endedAt time.Time
	// conn is the connection of the attached entry, nil for none.
	conn *peer.Conn
	// acked is true once the entry has acknowledged the answer, or has given the attempt up.
	acked bool
}

// ackTimeout is how long a stopping agent waits for an entry to acknowledge an answer.
const ackTimeout = 5 * time.Second

// isAwaited reports whether the attempt has not ended or its answer may still be acknowledged.
func (a *Attempt) isAwaited(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase != ended || (!a.acked && now.Sub(a.endedAt) < ackTimeout)
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

// Emit adds a piece to the answer and sends it to the attached entry. tokens is the
// number of tokens in data, 0 for a plain service; head is nil except in a plain
// service's first piece.
func (a *Attempt) Emit(tokens int, data []byte, head *wire.PlainHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked {
		return
	}
	p := wire.Piece{Attempt: a.Run.Attempt, Seq: len(a.pieces), Tokens: tokens, Data: data, Head: head}
	a.pieces = append(a.pieces, p)
	a.answerBytes += len(data)
	a.memory.Add(int64(len(data)))
	// Writing to a hash never fails.
	_, _ = a.digest.Write(data)
	a.sendPiece(p)
}

// Finish completes the answer; later calls have no effect.
func (a *Attempt) Finish(d wire.Done) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishLocked(d)
}

// finishLocked is Finish for a caller that holds the lock.
func (a *Attempt) finishLocked(d wire.Done) {
	if a.phase == ended {
		return
	}
	a.phase, a.endedAt = ended, time.Now()
	d.Attempt, d.Pieces, d.Digest = a.Run.Attempt, len(a.pieces), a.digest.Sum64()
	a.done = &d
	a.notify(wire.MethodDone, d)
	if a.acked {
		a.releaseBuffers()
	}
}

// notify sends a message to the attached entry. A connection that fails is
// detached; the entry sends its Run again.
func (a *Attempt) notify(method string, message any) {
	if a.conn == nil {
		return
	}
	if a.conn.Notify(method, message) != nil {
		a.conn = nil
	}
}

// sendPiece sends one piece to the attached entry.
func (a *Attempt) sendPiece(p wire.Piece) {
	if a.conn != nil && a.conn.SendStream(wire.StreamKindPiece, &p) != nil {
		a.conn = nil
	}
}

// attach sends the answer, starting at piece firstSeq, to the connection and makes
// it the one to which further pieces are sent.
func (a *Attempt) attach(c *peer.Conn, firstSeq int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	for _, p := range a.pieces[min(firstSeq, len(a.pieces)):] {
		a.sendPiece(p)
	}
	if a.done != nil {
		a.notify(wire.MethodDone, *a.done)
	}
}

// revoke ends the attempt and reports whether it certainly did not run. A running
// one is canceled only if it may be repeated: a generation or an idempotent call. The
// entry that revokes an attempt no longer collects its answer, so none is kept.
func (a *Attempt) revoke() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked, a.conn = true, nil
	refused := fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)
	switch a.phase {
	case pending:
		a.finishLocked(wire.Done{Refusal: refused})
		a.cancel(refused)
		return true
	case running:
		if a.Run.Plain == nil || a.Run.Plain.Idempotent {
			a.cancel(fault.Failed(fault.Canceled, "attempt %s was canceled while it ran", a.Run.Attempt))
		}
		return false
	}
	a.releaseBuffers()
	return a.done.Refusal != nil && a.done.Refusal.NotRun
}

// removable reports whether the attempt has ended and its answer need not be kept.
func (a *Attempt) removable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == ended && (a.acked || now.After(a.Deadline.Add(answerRetention)))
}

// acknowledge detaches the entry and releases the answer, which the entry has received.
func (a *Attempt) acknowledge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = true
	a.conn = nil
	a.releaseBuffers()
}

// releaseBuffers releases the body and the answer. The caller holds the lock.
func (a *Attempt) releaseBuffers() {
	a.memory.Add(-int64(a.answerBytes + len(a.Body)))
	a.pieces, a.Body, a.answerBytes = nil, nil, 0
}

// Abort ends an attempt because its agent stops: a pending one is refused as
// not run, a running one is canceled and ends as failed.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.phase {
	case pending:
		refused := fault.NotRun(fault.Draining, "the agent stops before attempt %s began", a.Run.Attempt)
		a.finishLocked(wire.Done{Refusal: refused})
		a.cancel(refused)
	case running:
		a.cancel(fault.Failed(fault.Draining, "the agent stops while attempt %s runs", a.Run.Attempt))
	}
}
