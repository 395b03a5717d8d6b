package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/policy/shed"
)

const (
	// DefaultIdleTimeout is how long a body may stay without bytes where nothing else is configured.
	DefaultIdleTimeout = 15 * time.Second
	// idleMargin is added to the idle timeout, and is the time between two settings of the read deadline.
	idleMargin = time.Second
)

var (
	// ErrTooLarge reports a body over its limit.
	ErrTooLarge = errors.New("body too large")
	// ErrTooSlow reports a body below the least rate while memory or connections are short.
	ErrTooSlow = errors.New("body too slow")
)

// Rules are the limits of a body.
type Rules struct {
	MaxBytes int64
	// IdleTimeout is how long the body may stay without bytes.
	IdleTimeout time.Duration
	// Deadline is when the body must be complete.
	Deadline time.Time
}

// Body is a request's body in memory; its zero value is empty.
type Body struct {
	// First is the body or, if it is long, its first block, and More the further ones.
	First []byte
	More  [][]byte

	lease    memory.Lease
	control  *http.ResponseController
	rules    Rules
	received int64
	armed    time.Time
	// deadlineErr is the first error of setting the read deadline.
	deadlineErr error
}

// CallerAddress returns the address of a request's caller, without a port.
func CallerAddress(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return host
	}
	return r.RemoteAddr
}

// Read reads a request's body. Its memory is charged to the budget until Close is called. The error is
// ErrTooLarge, also for an announced length before anything is read; ErrTooSlow; memory.ErrShort if
// there is no memory or the body had to give way to others; os.ErrDeadlineExceeded at the deadline
// or the idle timeout; or that of the connection. With an error nothing is held, and the connection
// closes after the answer, as the rest of the body may follow.
func (b *Body) Read(budget *memory.Budget, w http.ResponseWriter, r *http.Request, rules Rules) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	b.control, b.rules = http.NewResponseController(w), rules
	err := ErrTooLarge
	if r.ContentLength <= rules.MaxBytes {
		budget.OpenBody(&b.lease, CallerAddress(r), b, r.ContentLength)
		err = b.readBlocks(r)
		ended := b.lease.Ended()
		if !b.lease.Finish() || err != nil && ended {
			err = memory.ErrShort
		}
	}
	if err != nil {
		b.First, b.More = nil, nil
		b.lease.Close()
		w.Header().Set("Connection", "close")
		return err
	}
	b.setReadDeadline(time.Time{})
	return nil
}

// DeadlineError returns the error of setting the read deadline, without which the body was read; nil
// if there was none or the connection does not support deadlines.
func (b *Body) DeadlineError() error {
	return b.deadlineErr
}

// Join makes First the whole body.
func (b *Body) Join() error {
	if len(b.More) == 0 {
		return nil
	}
	if err := b.lease.Grow(b.received); err != nil {
		return err
	}
	whole := append(make([]byte, 0, b.received), b.First...)
	for _, block := range b.More {
		whole = append(whole, block...)
	}
	b.First, b.More = whole, nil
	b.lease.Release(b.received)
	return nil
}

// Close gives back the memory of the body.
func (b *Body) Close() {
	b.lease.Close()
}

// EndReading makes the current read of the body fail.
func (b *Body) EndReading() {
	// Without deadlines, the next read fails.
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// readBlocks reads the body into blocks whose memory is charged before they are read.
func (b *Body) readBlocks(r *http.Request) error {
	left := max(b.rules.MaxBytes, 1)
	if r.ContentLength > 0 {
		left = r.ContentLength
	}
	var blocks memory.BlockSizes
	for left > 0 {
		size := blocks.Next(left)
		if err := b.lease.Grow(size); err != nil {
			return err
		}
		data, err := b.fill(r.Body, make([]byte, 0, size))
		b.add(data)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		left -= size
	}
	return b.expectEnd(r.Body)
}

// add appends a block to the body.
func (b *Body) add(data []byte) {
	b.received += int64(len(data))
	if b.First == nil {
		b.First = data
		return
	}
	b.More = append(b.More, data)
}

// fill reads the body until a block is full; the error is io.EOF at the body's end.
func (b *Body) fill(body io.Reader, block []byte) ([]byte, error) {
	for len(block) < cap(block) {
		if err := b.arm(); err != nil {
			return block, err
		}
		n, err := body.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		b.lease.Progress(n)
		if err != nil {
			return block, err
		}
	}
	return block, nil
}

// expectEnd returns nil if the body has no more bytes.
func (b *Body) expectEnd(body io.Reader) error {
	for {
		if err := b.arm(); err != nil {
			return err
		}
		var next [1]byte
		switch n, err := body.Read(next[:]); {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// arm sets the read deadline at most once in idleMargin, and returns an error if the body must not be
// read on.
func (b *Body) arm() error {
	now := time.Now()
	if now.Sub(b.armed) < idleMargin {
		return nil
	}
	b.armed = now
	idle := b.rules.IdleTimeout + idleMargin
	if shed.IsTooSlow(b.lease.Received(), b.lease.Elapsed(), idle, b.lease.IsShort()) {
		return ErrTooSlow
	}
	deadline := now.Add(idle)
	if b.rules.Deadline.Before(deadline) {
		deadline = b.rules.Deadline
	}
	b.setReadDeadline(deadline)
	// EndReading may have set its deadline just before.
	if b.lease.Ended() {
		return memory.ErrShort
	}
	return nil
}

// setReadDeadline sets the deadline for reading; a zero time removes it.
func (b *Body) setReadDeadline(t time.Time) {
	if err := b.control.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) && b.deadlineErr == nil {
		b.deadlineErr = err
	}
}
