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
	// whole is true if the pieces stay here until all have arrived; memory, if it is not nil, is charged for them.
	whole  bool
	memory AnswerMemory
	// charged is what memory was charged, and reserved the part of it that no piece takes.
	charged, reserved int64
	// short is true once a piece did not fit. The answer is dropped then, and kept by the agent.
	short bool
	// expected is the number of pieces of an answer that was missing some.
	expected int
}

// newInbox returns an empty inbox. If whole is true, it holds the pieces until all have arrived, and charges the
// memory for them unless that is nil.
func newInbox(whole bool, memory AnswerMemory) *inbox {
	return &inbox{digest: xxhash.New(), changed: make(chan struct{}, 1), whole: whole, memory: memory}
}

// addPiece adds the next piece in sequence and drops any other: a duplicate, or
// a piece after a gap, which is requested again at the end of the answer.
func (i *inbox) addPiece(p wire.Piece) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || i.short || p.Seq != i.nextSeq {
		return
	}
	if !i.charge(int64(len(p.Data))) {
		i.short = true
		i.nextSeq, i.undelivered = 0, nil
		i.digest.Reset()
		i.release()
		return
	}
	i.nextSeq++
	i.undelivered = append(i.undelivered, p)
	// Writing to a hash never fails.
	_, _ = i.digest.Write(p.Data)
	i.notifyReader()
}

// charge charges a piece of n bytes, and reports whether it fits.
func (i *inbox) charge(n int64) bool {
	if i.memory == nil {
		return true
	}
	if n <= i.reserved {
		i.reserved -= n
		return true
	}
	if !i.memory.TryGrow(n) {
		return false
	}
	i.charged += n
	return true
}

// release gives back the memory of the pieces.
func (i *inbox) release() {
	if i.memory != nil {
		i.memory.Release(i.charged)
	}
	i.charged, i.reserved = 0, 0
}

// missingBytes returns a bound on the size of an answer that was dropped for want of memory, 0 if it was not.
func (i *inbox) missingBytes() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.short {
		return 0
	}
	return int64(i.expected) * wire.MaxPartBytes
}

// acceptAgain makes the inbox accept an answer that was dropped, for which n bytes have been charged.
func (i *inbox) acceptAgain(n int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.short, i.charged, i.reserved = false, n, n
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
// missing is true and the end is discarded until the answer is sent again. Pieces
// of an answer that is held until it is whole are returned only with the end.
func (i *inbox) takeNew() (pieces []wire.Piece, done *wire.Done, missing bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.done != nil && i.nextSeq < i.done.Pieces {
		i.expected, i.done, missing = i.done.Pieces, nil, true
	}
	if !i.whole || i.done != nil {
		pieces, i.undelivered = i.undelivered, nil
	}
	return pieces, i.done, missing
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

// close makes the inbox drop all later messages of the attempt, and gives back the memory of its pieces unless
// they were delivered.
func (i *inbox) close(delivered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	if !delivered {
		i.undelivered = nil
		i.release()
	}
}
