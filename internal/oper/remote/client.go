package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/admin"
	"foxtailcroft/internal/link/heads"
)

// Client calls the operator API of an entry.
type Client struct {
	baseURL string
	actor   string
	http    *http.Client
}

// callTimeout bounds every call except a watch.
const callTimeout = 20 * time.Second

// New returns a client of the entry at baseURL. The audit trail records actor as the operator.
func New(baseURL, actor string) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), actor: actor, http: &http.Client{Transport: heads.Transport(http.DefaultTransport)}}
}

// RefusedError reports a call that the entry refused, with the HTTP status.
type RefusedError struct {
	Status int
	admin.Problem
}

// Error returns the HTTP status and the API's error text.
func (p *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", p.Status, p.Problem.Error)
}

// Get returns one resource with its status.
func (c *Client) Get(ctx context.Context, kind kinds.Kind, name string) (admin.Item, error) {
	var out admin.Item
	return out, c.call(ctx, http.MethodGet, "/admin/v1/"+string(kind)+"/"+url.PathEscape(name), nil, nil, &out)
}

// List returns the resources of a kind.
func (c *Client) List(ctx context.Context, kind kinds.Kind) (admin.List, error) {
	var out admin.List
	return out, c.call(ctx, http.MethodGet, "/admin/v1/"+string(kind), nil, nil, &out)
}

// WriteOptions holds the options of a change.
type WriteOptions struct {
	// IfRevision is the revision that the resource must be at; nil for any.
	IfRevision *int64
	// DryRun asks for validation without a change.
	DryRun bool
}

func (w WriteOptions) header() http.Header {
	h := http.Header{}
	if w.IfRevision != nil {
		h.Set("If-Match", strconv.Quote(strconv.FormatInt(*w.IfRevision, 10)))
	}
	return h
}

func (w WriteOptions) query() string {
	if w.DryRun {
		return "?dryRun=true"
	}
	return ""
}

// Put creates or updates a resource and returns it as stored.
func (c *Client) Put(ctx context.Context, r kinds.Resource, w WriteOptions) (kinds.Resource, error) {
	var out admin.Item
	err := c.call(ctx, http.MethodPut, "/admin/v1/"+string(r.Kind)+"/"+url.PathEscape(r.Name)+w.query(), w.header(), r, &out)
	return out.Resource, err
}

// Delete removes a resource.
func (c *Client) Delete(ctx context.Context, kind kinds.Kind, name string, w WriteOptions) error {
	return c.call(ctx, http.MethodDelete, "/admin/v1/"+string(kind)+"/"+url.PathEscape(name)+w.query(), w.header(), nil, nil)
}

// Cluster returns the state of all models, endpoints and nodes.
func (c *Client) Cluster(ctx context.Context) (admin.Cluster, error) {
	var out admin.Cluster
	return out, c.call(ctx, http.MethodGet, "/admin/v1/Status", nil, nil, &out)
}

// Audit returns the audit records whose key has the prefix. A zero since returns records of all times.
func (c *Client) Audit(ctx context.Context, since time.Time, prefix string) ([]audit.Record, error) {
	q := url.Values{"prefix": {prefix}}
	if !since.IsZero() {
		q.Set("since", since.UTC().Format(time.RFC3339))
	}
	var out struct{ Records []audit.Record }
	err := c.call(ctx, http.MethodGet, "/admin/v1/Audit?"+q.Encode(), nil, nil, &out)
	return out.Records, err
}

// Watch calls fn for each change of a kind after the given revision, until fn fails or the context or the stream ends.
// It always returns an error.
func (c *Client) Watch(ctx context.Context, kind kinds.Kind, after int64, fn func(admin.Event) error) error {
	resp, err := c.send(ctx, http.MethodGet, fmt.Sprintf("/admin/v1/%s?watch=true&revision=%d", kind, after), nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(resp.Body)
	for {
		var e admin.Event
		if err := dec.Decode(&e); err != nil {
			return err
		}
		if err := fn(e); err != nil {
			return err
		}
	}
}

// call makes one call and decodes the response body into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	return heads.DecodeJSON(resp.Body, out)
}

// maxProblemBytes bounds the response body read from a refused call.
const maxProblemBytes = 1 << 20

// send makes one call. It returns a *RefusedError for any status other than 200 and a *fault.Unavailable if the entry is unreachable.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body any) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("X-Operator", c.actor)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &fault.Unavailable{Service: "entry", Err: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	p := &RefusedError{Status: resp.StatusCode}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p.Problem); err != nil {
		p.Problem.Error = resp.Status
	}
	return nil, p
}
