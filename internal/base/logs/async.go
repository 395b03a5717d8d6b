package logs

import (
	"io"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter writes log lines asynchronously. When a buffer is full it drops and counts
// lines, so that a slow reader of the log blocks no caller. Warnings and errors have
// a buffer of their own and are written first.
type AsyncWriter struct {
	urgent  lineBuffer
	routine lineBuffer
}

// lineBuffer buffers the log lines of one priority.
type lineBuffer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// Write buffers the line, or drops and counts it if the buffer is full; it never blocks.
func (l *lineBuffer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// NewAsyncWriter returns a writer with a buffer of the given number of lines for each
// priority, and a function that writes the buffered lines and stops it.
func NewAsyncWriter(w io.Writer, lines int) (*AsyncWriter, func()) {
	b := &AsyncWriter{urgent: lineBuffer{lines: make(chan []byte, lines)}, routine: lineBuffer{lines: make(chan []byte, lines)}}
	var group conc.WaitGroup
	group.Go(func() { b.writeLines(w) })
	return b, func() {
		close(b.urgent.lines)
		close(b.routine.lines)
		group.Wait()
	}
}

// writeLines writes lines until both buffers are closed and empty, urgent ones first.
func (b *AsyncWriter) writeLines(w io.Writer) {
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
			// A failed write of the log cannot be reported anywhere else.
			_, _ = w.Write(line)
		}
	}
}

// Dropped returns the numbers of urgent and routine lines dropped so far.
func (b *AsyncWriter) Dropped() (urgent, routine int64) {
	return b.urgent.dropped.Load(), b.routine.dropped.Load()
}

// NewAsync returns a logger of JSON lines for a node that writes to b: warnings and
// errors as urgent lines, all others as routine. An unknown level is an error.
func NewAsync(b *AsyncWriter, level, node string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	enc := encoder()
	core := zapcore.NewTee(
		zapcore.NewCore(enc, zapcore.AddSync(&b.urgent), zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= max(minLevel, zapcore.WarnLevel) })),
		zapcore.NewCore(enc, zapcore.AddSync(&b.routine), zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= minLevel && l < zapcore.WarnLevel })),
	)
	return zap.New(core).With(zap.String("Node", node)), nil
}
