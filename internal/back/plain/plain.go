package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"golang.org/x/sync/semaphore"

	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/link/heads"
)

// Call is one request to a plain service.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Memory is charged for the answer as it is read; nil doesn't.
	Memory Memory
}

// Memory is the memory of one answer.
type Memory interface {
	// Grow waits for n more bytes. The error is that of the context.
	Grow(ctx context.Context, n int64) error
	// Release gives back n bytes.
	Release(n int64)
}

// Answer is the complete response to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service.
type Service interface {
	// Do makes one call; errors are *NotSent or *LostResponse.
	Do(ctx context.Context, c Call) (Answer, error)
}

// NotSent is the error of a call that was not sent, so that the service did not run it.
type NotSent struct {
	Err error
}

// Error returns a message with the cause.
func (n *NotSent) Error() string {
	return fmt.Sprintf("call not sent: %v", n.Err)
}

// Unwrap returns the cause.
func (n *NotSent) Unwrap() error {
	return n.Err
}

// LostResponse is the error of a call that may have run but whose complete response was not received.
type LostResponse struct {
	Err error
}

// Error returns a message with the cause.
func (l *LostResponse) Error() string {
	return fmt.Sprintf("answer lost: %v", l.Err)
}

// Unwrap returns the cause.
func (l *LostResponse) Unwrap() error {
	return l.Err
}

const (
	// maxAnswerBytes limits the body of a response.
	maxAnswerBytes = 16 << 20
	// maxBufferedBytes bounds the memory of all bodies that are being read; a faulty service may
	// send them without end.
	maxBufferedBytes = 32 << 20
	// bodyBlockBytes is the most by which that memory is reserved at a time, after the first block of a body.
	bodyBlockBytes = 64 << 10
)

// Client calls a plain service over HTTP. Each call has a connection of its own: the transport may
// resend a call on a reused one, and a service may send a response a second time.
type Client struct {
	base *url.URL
	http *http.Client
	// bodyMemory is the memory that is left for bodies that are being read.
	bodyMemory *semaphore.Weighted
}

// NewClient returns a client of the service at the base URL.
func NewClient(base string, transport http.RoundTripper) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	stop := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:       u,
		http:       &http.Client{Transport: heads.Transport(transport), CheckRedirect: stop},
		bodyMemory: semaphore.NewWeighted(maxBufferedBytes),
	}, nil
}

// Do makes one call without following redirects.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	target := *c.base
	target.Path, target.RawQuery = call.Path, call.Query
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), nil)
	if err != nil {
		return Answer{}, &NotSent{err}
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Close = true
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return Answer{}, &NotSent{err}
		}
		return Answer{}, &LostResponse{err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readBody(ctx, resp.Body, call.Memory)
	if err != nil {
		return Answer{}, &LostResponse{err}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// readBody reads a body to its end within the bounds on its memory. It is read into blocks, and then joined.
func (c *Client) readBody(ctx context.Context, body io.Reader, m Memory) ([]byte, error) {
	var (
		reserved, charged int64
		sizes             memory.BlockSizes
		blocks            []*bytes.Buffer
		total             int
	)
	defer func() { c.bodyMemory.Release(reserved) }()
	for {
		size := sizes.Next(bodyBlockBytes)
		if len(blocks) > 0 {
			if !c.bodyMemory.TryAcquire(size) {
				return nil, fmt.Errorf("answers being read take over %d bytes of memory", maxBufferedBytes)
			}
			reserved += size
		}
		if m != nil {
			if err := m.Grow(ctx, 2*size); err != nil {
				return nil, err
			}
			charged += 2 * size
		}
		// ReadFrom grows the buffer unless there is room for bytes.MinRead.
		block := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
		n, err := io.CopyN(block, body, size)
		total += int(n)
		blocks = append(blocks, block)
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case total > maxAnswerBytes:
			return nil, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
		case err == nil:
			continue
		}
		whole := joinBlocks(blocks, total)
		if m != nil {
			m.Release(charged - int64(total))
		}
		return whole, nil
	}
}

// joinBlocks returns what the blocks hold, total bytes.
func joinBlocks(blocks []*bytes.Buffer, total int) []byte {
	whole := make([]byte, 0, total)
	for _, b := range blocks {
		whole = append(whole, b.Bytes()...)
	}
	return whole
}

var _ Service = (*Client)(nil)
