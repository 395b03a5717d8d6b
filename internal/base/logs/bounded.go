package logs

import (
	"io"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// Bounded writes lines in a goroutine of its own; when its buffer is full it
// drops lines and counts them, so that nobody waits for a slow reader.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBounded returns a writer that buffers a number of lines, and the function that writes what is left and ends it.
func NewBounded(w io.Writer, lines int) (*Bounded, func()) {
	b := &Bounded{lines: make(chan []byte, lines)}
	var group conc.WaitGroup
	group.Go(func() {
		for line := range b.lines {
			// A reader that is gone cannot be told.
			_, _ = w.Write(line)
		}
	})
	return b, func() {
		close(b.lines)
		group.Wait()
	}
}

// Write takes a line; it never blocks.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() int64 {
	return b.dropped.Load()
}
