package calls

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/wire"
)

// inbox reassembles one attempt's answer from the connections on which its pieces arrive.
type inbox struct {
	mu          sync.Mutex
	undelivered []wire.Piece
	// nextSeq is the number of the next expected piece.
	nextSeq int
	done    *wire.Done
	digest  *xxhash.Digest
	changed chan struct{}
	closed  bool
}

func newInbox() *inbox {
	return &inbox{digest: xxhash.New(), changed: make(chan struct{}, 1)}
}

// addPiece adds the next piece in sequence and drops any other: a duplicate, or
// a piece after a gap, which is requested again at the end of the answer.
func (i *inbox) addPiece(p wire.Piece) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || p.Seq != i.nextSeq {
		return
	}
	i.nextSeq++
	i.undelivered = append(i.undelivered, p)
	// Writing to a hash never fails.
	_, _ = i.digest.Write(p.Data)
	i.notifyReader()
}

// setDone records the end of the answer.
func (i *inbox) setDone(d wire.Done) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	i.done = &d
	i.notifyReader()
}

func (i *inbox) notifyReader() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// takeNew returns the pieces that arrived since the last call, and the end of
// the answer if all pieces have arrived. If the end arrived before some piece,
// missing is true and the end is discarded until the answer is sent again.
func (i *inbox) takeNew() (pieces []wire.Piece, done *wire.Done, missing bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	pieces, i.undelivered = i.undelivered, nil
	if i.done == nil {
		return pieces, nil, false
	}
	if i.nextSeq < i.done.Pieces {
		i.done = nil
		return pieces, nil, true
	}
	return pieces, i.done, false
}

// verify checks an answer against the agent's piece count and digest and returns
// nil if they match.
func (i *inbox) verify(d *wire.Done) *fault.Refusal {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.Pieces == i.nextSeq && d.Digest == i.digest.Sum64() {
		return nil
	}
	return fault.Failed(fault.EndpointLost, "answer of %d pieces does not match its digest", i.nextSeq)
}

// resumeSeq returns the number of the piece at which the agent resumes the answer.
func (i *inbox) resumeSeq() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.nextSeq
}

// close makes the inbox drop all later messages of the attempt.
func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
