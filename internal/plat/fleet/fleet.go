package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/heads"
)

// Instance is one entry of the platform's instance list; Leaving is true for one that is shutting down.
type Instance struct {
	Name    string
	Role    string
	Address string
	Region  string
	Domain  string
	Leaving bool
}

// List is the platform's list of live and leaving instances; it lags behind the actual state.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

const (
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
	// maxReplyBytes limits how much of a response is read.
	maxReplyBytes = 64 << 20
)

// Client is an HTTP client of the instance list.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the instance list at the base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{url: base + "/v1/instances", http: &http.Client{Transport: heads.Transport(transport)}}
}

// Instances returns the platform's current list; errors of the call are *fault.Unavailable.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &fault.Unavailable{Service: "instance list", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &fault.Unavailable{Service: "instance list", Err: fmt.Errorf("answered %s", resp.Status)}
	}
	var reply struct{ Instances []Instance }
	if err := heads.DecodeJSON(io.LimitReader(resp.Body, maxReplyBytes), &reply); err != nil {
		return nil, &fault.Unavailable{Service: "instance list", Err: err}
	}
	return reply.Instances, nil
}
