package calls

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/wire"
)

// inbox collects one attempt's answer from whatever connection it comes on.
type inbox struct {
	mu     sync.Mutex
	ready  []wire.Piece
	next   int
	done   *wire.Done
	digest *xxhash.Digest
	signal chan struct{}
	closed bool
}

func newInbox() *inbox {
	return &inbox{digest: xxhash.New(), signal: make(chan struct{}, 1)}
}

// piece takes the next piece and drops one that came before; a gap is dropped
// too, and the missing pieces are asked for when the answer is closed.
func (i *inbox) piece(p wire.Piece) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || p.Seq != i.next {
		return
	}
	i.next++
	i.ready = append(i.ready, p)
	// A hash never fails to take bytes.
	_, _ = i.digest.Write(p.Data)
	i.wake()
}

func (i *inbox) finish(d wire.Done) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	i.done = &d
	i.wake()
}

func (i *inbox) wake() {
	select {
	case i.signal <- struct{}{}:
	default:
	}
}

// take returns the pieces that came since the last call, and the end of the answer if it is whole.
func (i *inbox) take() (pieces []wire.Piece, done *wire.Done, missing bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	pieces, i.ready = i.ready, nil
	if i.done == nil {
		return pieces, nil, false
	}
	if i.next < i.done.Pieces {
		i.done = nil
		return pieces, nil, true
	}
	return pieces, i.done, false
}

// verify checks a whole answer against the agent's count and digest.
func (i *inbox) verify(d *wire.Done) *fault.Refusal {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.Pieces == i.next && d.Digest == i.digest.Sum64() {
		return nil
	}
	return fault.Failed(fault.EndpointLost, "answer of %d pieces does not match its digest", i.next)
}

// from returns the number of the next piece.
func (i *inbox) from() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.next
}

// close drops whatever still comes for the attempt.
func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
