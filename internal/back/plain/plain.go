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
)

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Idempotent allows a connection that was used before, on which the
	// transport may repeat the call.
	Idempotent bool
}

// Answer is the whole answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service as an agent uses it.
type Service interface {
	// Do makes a call once; errors are *NotSent or *Lost.
	Do(ctx context.Context, c Call) (Answer, error)
}

// NotSent reports a call that never left, so that the service did not run it.
type NotSent struct {
	Err error
}

// Error names the cause.
func (n *NotSent) Error() string {
	return fmt.Sprintf("call not sent: %v", n.Err)
}

// Unwrap returns the cause.
func (n *NotSent) Unwrap() error {
	return n.Err
}

// Lost reports a call that may have run but whose whole answer did not come.
type Lost struct {
	Err error
}

// Error names the cause.
func (l *Lost) Error() string {
	return fmt.Sprintf("answer lost: %v", l.Err)
}

// Unwrap returns the cause.
func (l *Lost) Unwrap() error {
	return l.Err
}

// maxAnswer bounds a plain service's answer.
const maxAnswer = 16 << 20

// Client calls a plain service over HTTP.
type Client struct {
	base  *url.URL
	kept  *http.Client
	fresh *http.Client
}

// NewClient returns a client of the service at base URL. Idempotent calls go
// through kept; others go through fresh, which must not reuse connections.
func NewClient(base string, kept, fresh http.RoundTripper) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	stop := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:  u,
		kept:  &http.Client{Transport: kept, CheckRedirect: stop},
		fresh: &http.Client{Transport: fresh, CheckRedirect: stop},
	}, nil
}

// Do makes one call.
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
	client := c.fresh
	if call.Idempotent {
		client = c.kept
	}
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return Answer{}, &NotSent{err}
		}
		return Answer{}, &Lost{err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, &Lost{err}
	}
	if len(body) > maxAnswer {
		return Answer{}, &Lost{fmt.Errorf("answer exceeds %d bytes", maxAnswer)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

var _ Service = (*Client)(nil)
