package logs

import (
	"io"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounded writes lines in a goroutine of its own. When its buffers are full it
// drops lines and counts them, so that nobody waits for a slow reader; lines of
// failures have a buffer of their own and are written first.
type Bounded struct {
	urgent  lane
	routine lane
}

// lane is a buffer of lines of one kind.
type lane struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write takes a line; it never blocks.
func (l *lane) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// NewBounded returns a writer that buffers a number of lines of each kind, and the function that writes what is left and ends it.
func NewBounded(w io.Writer, lines int) (*Bounded, func()) {
	b := &Bounded{urgent: lane{lines: make(chan []byte, lines)}, routine: lane{lines: make(chan []byte, lines)}}
	var group conc.WaitGroup
	group.Go(func() { b.drain(w) })
	return b, func() {
		close(b.urgent.lines)
		close(b.routine.lines)
		group.Wait()
	}
}

// drain writes lines until both buffers are closed.
func (b *Bounded) drain(w io.Writer) {
	urgent, routine := b.urgent.lines, b.routine.lines
	for urgent != nil || routine != nil {
		var line []byte
		var ok bool
		select {
		case line, ok = <-urgent:
			if !ok {
				urgent = nil
			}
		default:
			select {
			case line, ok = <-urgent:
				if !ok {
					urgent = nil
				}
			case line, ok = <-routine:
				if !ok {
					routine = nil
				}
			}
		}
		if ok {
			// There is nowhere left to report a failed write.
			_, _ = w.Write(line)
		}
	}
}

// Dropped returns the lines of failures and of routine dropped so far.
func (b *Bounded) Dropped() (urgent, routine int64) {
	return b.urgent.dropped.Load(), b.routine.dropped.Load()
}

// NewSplit returns a logger of JSON lines for a node over a bounded writer: warnings and errors are urgent, all else is routine.
func NewSplit(b *Bounded, level, node string) (*zap.Logger, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	enc := encoder()
	core := zapcore.NewTee(
		zapcore.NewCore(enc, zapcore.AddSync(&b.urgent), zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= max(at, zapcore.WarnLevel) })),
		zapcore.NewCore(enc, zapcore.AddSync(&b.routine), zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= at && l < zapcore.WarnLevel })),
	)
	return zap.New(core).With(zap.String("Node", node)), nil
}
