package store

import (
	"context"
	"io"
	"time"
)

const (
	// maxTransfer bounds by how much the progress of a call may prolong it.
	maxTransfer = 30 * time.Second
	// leastUploadRate is the rate in bytes a second at which a request is expected to be sent at least.
	leastUploadRate = 128 << 10
	// partBytes is the most that is read at a time, as a read of a chunked response ends only with its buffer full.
	partBytes = 32 << 10
)

// transfer ends a call that makes no progress. A large response takes long on a slow link, so each part of it
// prolongs the call.
type transfer struct {
	timer *time.Timer
	// dueAt is when the call ends without any progress, endBy when it ends with it.
	dueAt, endBy time.Time
}

// startTransfer returns a context that ends after the timeout, with context.DeadlineExceeded as its cause, unless
// the transfer makes progress. The function releases the context.
func startTransfer(ctx context.Context, timeout time.Duration) (context.Context, *transfer, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &transfer{dueAt: time.Now().Add(timeout)}
	t.endBy = t.dueAt.Add(maxTransfer)
	t.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, t, func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// uploadTime returns how long sending a request may take.
func uploadTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / leastUploadRate
}

// reader returns a reader of the response's body whose parts prolong the call.
func (t *transfer) reader(body io.Reader) io.Reader {
	return &progressReader{body, t}
}

type progressReader struct {
	io.Reader
	transfer *transfer
}

// Read reads a part of the body and records the progress.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), partBytes)])
	now := time.Now()
	if t := r.transfer; n > 0 && now.Before(t.endBy) && now.Add(callTimeout).After(t.dueAt) {
		t.timer.Reset(callTimeout)
	}
	return n, err
}
