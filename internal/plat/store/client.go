package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/heads"
)

const (
	// callTimeout bounds every call but a watch, or the time between two parts of a response.
	callTimeout = 1500 * time.Millisecond
	// watchWindow is the duration of one watch call, so that a dead connection is replaced. A batch that is
	// arriving then is read to its end.
	watchWindow = 3 * time.Second
	// maxReplyBytes limits how much of a response is read.
	maxReplyBytes = 64 << 20
)

// Client is an HTTP client of the store with a client-side rate limit.
type Client struct {
	base        string
	http        *http.Client
	limiter     *rate.Limiter
	calls       *metrics.Counter
	failedCalls *metrics.Counter
}

// NewClient returns a client of the store at the base URL, limited to callsPerSecond.
func NewClient(base string, transport http.RoundTripper, callsPerSecond float64, set *metrics.Set) *Client {
	return &Client{
		base: base, http: &http.Client{Transport: heads.Transport(transport)},
		limiter:     rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond))),
		calls:       set.GetOrCreateCounter("foxtailcroft_store_calls_total"),
		failedCalls: set.GetOrCreateCounter("foxtailcroft_store_failed_calls_total"),
	}
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type wireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

func (k wireKV) toKV() KV {
	return KV{Key: string(k.Key), Value: k.Value, Revision: k.ModRevision, Lease: k.Lease}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeReply struct {
	Header header   `json:"header"`
	KVs    []wireKV `json:"kvs"`
}

// Range returns the keys with a prefix from a linearizable read.
func (c *Client) Range(ctx context.Context, prefix string) (List, error) {
	return c.rangeKeys(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// Get returns one key from a linearizable read; false if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (KV, bool, error) {
	list, err := c.rangeKeys(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(list.KVs) == 0 {
		return KV{}, false, err
	}
	return list.KVs[0], true, nil
}

func (c *Client) rangeKeys(ctx context.Context, req rangeRequest) (List, error) {
	var reply rangeReply
	if err := c.call(ctx, "/v3/kv/range", req, &reply); err != nil {
		return List{}, err
	}
	list := List{Revision: reply.Header.Revision}
	for _, kv := range reply.KVs {
		list.KVs = append(list.KVs, kv.toKV())
	}
	return list, nil
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wireOp struct {
	Put    *wireKV       `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
	Failure []wireOp      `json:"failure"`
}

type txnReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeReply `json:"response_range"`
	} `json:"responses"`
}

// Commit runs a transaction; if a comparison fails, the result holds the compared keys instead.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	var req txnRequest
	for _, cmp := range t.If {
		req.Compare = append(req.Compare, wireCompare{Key: []byte(cmp.Key), Target: "MOD", Result: "EQUAL", ModRevision: cmp.Revision})
		req.Failure = append(req.Failure, wireOp{Range: &rangeRequest{Key: []byte(cmp.Key)}})
	}
	for _, p := range t.Puts {
		req.Success = append(req.Success, wireOp{Put: &wireKV{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}})
	}
	for _, d := range t.Deletes {
		req.Success = append(req.Success, wireOp{Delete: &rangeRequest{Key: []byte(d)}})
	}
	var reply txnReply
	if err := c.call(ctx, "/v3/kv/txn", req, &reply); err != nil {
		return Result{}, err
	}
	res := Result{Succeeded: reply.Succeeded, Revision: reply.Header.Revision}
	for _, r := range reply.Responses {
		if r.Range == nil || reply.Succeeded {
			continue
		}
		for _, kv := range r.Range.KVs {
			res.Current = append(res.Current, kv.toKV())
		}
	}
	return res, nil
}

// Grant returns a new lease; its TTL is ttl rounded down to whole seconds, but at least one.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	req := struct {
		TTL int64 `json:"TTL,string"`
	}{int64(max(1, ttl/time.Second))}
	var reply struct {
		ID int64 `json:"ID,string"`
	}
	err := c.call(ctx, "/v3/lease/grant", req, &reply)
	return reply.ID, err
}

// KeepAlive renews a lease; false if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	req := struct {
		ID int64 `json:"ID,string"`
	}{lease}
	var reply struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		} `json:"result"`
	}
	err := c.call(ctx, "/v3/lease/keepalive", req, &reply)
	return reply.Result.TTL > 0, err
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchReply struct {
	Result struct {
		Header header `json:"header"`
		Events []struct {
			Type string `json:"type"`
			KV   wireKV `json:"kv"`
		} `json:"events"`
		CompactRevision int64 `json:"compact_revision,string"`
	} `json:"result"`
}

// Watch streams changes in consecutive calls of at most watchWindow, each continuing after the last batch.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func(Batch) error) error {
	for ctx.Err() == nil {
		next, err := c.watchOnce(ctx, prefix, after, fn)
		if err != nil {
			return err
		}
		after = next
	}
	return ctx.Err()
}

// watchOnce makes one watch call and returns the revision to continue after.
func (c *Client) watchOnce(ctx context.Context, prefix string, after int64, fn func(Batch) error) (int64, error) {
	window, progress, release := startTransfer(ctx, watchWindow)
	defer release()
	began := time.Now()
	var req watchRequest
	req.Create.Key, req.Create.RangeEnd, req.Create.StartRevision = []byte(prefix), prefixEnd(prefix), after+1
	resp, err := c.post(window, "/v3/watch", req)
	if err != nil {
		return after, err
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(progress.reader(resp.Body))
	for {
		var reply watchReply
		if err := dec.Decode(&reply); err != nil {
			if window.Err() != nil && ctx.Err() == nil {
				return after, nil
			}
			return after, &fault.Unavailable{Service: "store watch", Err: err}
		}
		if reply.Result.CompactRevision > 0 {
			return after, &Compacted{Revision: reply.Result.CompactRevision}
		}
		batch := Batch{Revision: reply.Result.Header.Revision}
		for _, e := range reply.Result.Events {
			batch.Events = append(batch.Events, Event{KV: e.KV.toKV(), Deleted: e.Type == "DELETE"})
		}
		if len(batch.Events) == 0 {
			continue
		}
		if err := fn(batch); err != nil {
			return after, err
		}
		if after = max(after, batch.Revision); time.Since(began) >= watchWindow {
			return after, nil
		}
	}
}

// call posts one request and decodes the response, whose parts may be callTimeout apart.
func (c *Client) call(ctx context.Context, path string, req, reply any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	ctx, progress, release := startTransfer(ctx, callTimeout+uploadTime(len(body)))
	defer release()
	resp, err := c.postBody(ctx, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := heads.DecodeJSON(io.LimitReader(progress.reader(resp.Body), maxReplyBytes), reply); err != nil {
		c.failedCalls.Inc()
		return &fault.Unavailable{Service: "store", Err: errors.Join(err, context.Cause(ctx)), MayHaveApplied: true}
	}
	return nil
}

// post sends one request under the rate limit; a status other than 200 is an error.
func (c *Client) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	return c.postBody(ctx, path, body)
}

// postBody is post for an encoded request.
func (c *Client) postBody(ctx context.Context, path string, body []byte) (*http.Response, error) {
	if err := c.awaitTurn(ctx); err != nil {
		return nil, &fault.Unavailable{Service: "store", Err: fmt.Errorf("call budget: %w", err)}
	}
	c.calls.Inc()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		c.failedCalls.Inc()
		return nil, &fault.Unavailable{Service: "store", Err: err, MayHaveApplied: true}
	}
	if resp.StatusCode != http.StatusOK {
		c.failedCalls.Inc()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		err := errors.Join(fmt.Errorf("%s answered %s: %s", path, resp.Status, text), resp.Body.Close())
		return nil, &fault.Unavailable{Service: "store", Err: err, MayHaveApplied: resp.StatusCode >= http.StatusInternalServerError}
	}
	return resp, nil
}

// awaitTurn waits until the rate limit admits a call; it fails at once if that takes longer than callTimeout.
func (c *Client) awaitTurn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.limiter.Wait(ctx)
}

// prefixEnd returns the smallest key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
