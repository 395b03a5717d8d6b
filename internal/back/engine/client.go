package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/heads"
)

// Client is an HTTP client of one engine. Each call has a connection of its own: an engine may
// send a response a second time, and responses name no call.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the engine at the base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: heads.Transport(transport)}}
}

type orderBody struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes int64  `json:"memory_bytes,omitempty"`
	Fence       int64  `json:"fence"`
	WaitMs      int64  `json:"wait_ms"`
}

type problemBody struct {
	Error     string `json:"error"`
	Fence     int64  `json:"fence"`
	FreeBytes int64  `json:"free_bytes"`
}

// Load loads an item and returns once the engine holds it or has refused.
func (c *Client) Load(ctx context.Context, o Order) error {
	return c.order(ctx, "/v1/load", o)
}

// Unload unloads an item and returns once the engine has dropped it or has refused.
func (c *Client) Unload(ctx context.Context, o Order) error {
	return c.order(ctx, "/v1/unload", o)
}

// order repeats an order until the engine reports it as done or refused. The
// engine merges repeats of an order in progress, so a lost response or a dead
// connection costs at most one call's timeout.
func (c *Client) order(ctx context.Context, path string, o Order) error {
	retryBackOff := backoff.NewExponentialBackOff()
	retryBackOff.InitialInterval, retryBackOff.MaxInterval = 50*time.Millisecond, time.Second
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		for {
			done, err := c.orderOnce(ctx, path, o)
			if done || err != nil {
				return struct{}{}, err
			}
			retryBackOff.Reset()
		}
	}, backoff.WithBackOff(retryBackOff), backoff.WithMaxElapsedTime(0))
	return err
}

// orderOnce makes one order call; done is false while the order is in progress.
func (c *Client) orderOnce(ctx context.Context, path string, o Order) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := o.Authorized(ctx); err != nil {
		var fenced *Fenced
		if errors.As(err, &fenced) {
			return false, backoff.Permanent(err)
		}
		return false, err
	}
	body := orderBody{o.Item.Model, o.Item.Version, o.Item.Adapter, o.Bytes, o.Fence, orderWait.Milliseconds()}
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusAccepted:
		return false, nil
	}
	var p problemBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p); err != nil {
		return false, &fault.Unavailable{Service: "engine", Err: fmt.Errorf("%s answered %s", path, resp.Status), MayHaveApplied: true}
	}
	switch resp.StatusCode {
	case http.StatusConflict:
		return false, backoff.Permanent(&Fenced{Given: o.Fence, Current: p.Fence})
	case http.StatusInsufficientStorage:
		return false, backoff.Permanent(&OutOfMemory{Item: o.Item, Free: p.FreeBytes})
	}
	return false, &fault.Unavailable{Service: "engine", Err: fmt.Errorf("%s answered %s: %s", path, resp.Status, p.Error), MayHaveApplied: true}
}

const (
	maxProblemBytes = 64 << 10
	maxReportBytes  = 16 << 20
)

type reportBody struct {
	MemoryBytes int64             `json:"memory_bytes"`
	Running     int               `json:"running"`
	Cached      map[string]string `json:"cached"`
	Items       []struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter"`
		Bytes   int64  `json:"bytes"`
		State   string `json:"state"`
	} `json:"items"`
}

// Report fetches the engine's memory, items and running requests; errors of the call are *fault.Unavailable.
func (c *Client) Report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/report", nil)
	if err != nil {
		return Report{}, err
	}
	req.Close = true
	resp, err := c.http.Do(req)
	if err != nil {
		return Report{}, &fault.Unavailable{Service: "engine", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var body reportBody
	if resp.StatusCode != http.StatusOK {
		return Report{}, &fault.Unavailable{Service: "engine", Err: fmt.Errorf("report answered %s", resp.Status)}
	}
	if err := heads.DecodeJSON(io.LimitReader(resp.Body, maxReportBytes), &body); err != nil {
		return Report{}, &fault.Unavailable{Service: "engine", Err: err}
	}
	r := Report{MemoryBytes: body.MemoryBytes, Running: body.Running, Cached: body.Cached}
	for _, i := range body.Items {
		r.Items = append(r.Items, LoadedItem{Item: Item{Model: i.Model, Adapter: i.Adapter, Version: i.Version}, Bytes: i.Bytes, Loading: i.State == "loading"})
	}
	return r, nil
}

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &fault.Unavailable{Service: "engine", Err: err, MayHaveApplied: true}
	}
	return resp, nil
}

var _ Engine = (*Client)(nil)
