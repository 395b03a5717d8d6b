package sched

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

const (
	// reportTimeout bounds a report request.
	reportTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order request; an order that timed out may have been accepted.
	orderTimeout = time.Second
	// maxReplyBytes bounds the bytes that are read of a response body.
	maxReplyBytes = 1 << 20
)

// Dialect encodes report and order requests for the model servers and decodes their
// responses.
type Dialect interface {
	ReportRequest(address string) (*http.Request, error)
	Report(data []byte) (site.ServerReport, error)
	OrderRequest(address, instance string, o site.Order) (*http.Request, error)
	Outcome(status int) site.OrderOutcome
	// IsReport reports whether a response's body is a report.
	IsReport(data []byte) bool
	// NamesRequest reports whether a response names the request that it belongs to, as those to
	// callers' requests do.
	NamesRequest(h http.Header) bool
}

// errCopiedReport reports a second copy of an earlier report in the place of the answer to an order.
var errCopiedReport = errors.New("the server sent a report instead of an answer to the order")

// serverClient sends report and order requests to model servers.
type serverClient struct {
	pool    *conns.Pool
	dialect Dialect
	mu      sync.Mutex
	// orderConns are the last connections on which each server answered an order.
	orderConns map[site.InstanceKey][]conns.ConnID
}

// maxOrderConns bounds the connections that are remembered of each server.
const maxOrderConns = 32

// report requests a server's report.
func (w *serverClient) report(ctx context.Context, in site.Instance) (site.ServerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := w.dialect.ReportRequest(in.Address)
	if err != nil {
		return site.ServerReport{}, err
	}
	status, data, _, err := w.send(ctx, in, req, nil)
	if err != nil {
		return site.ServerReport{}, err
	}
	if status != http.StatusOK {
		return site.ServerReport{}, fmt.Errorf("reading the report failed with status %d", status)
	}
	return w.dialect.Report(data)
}

// order sends an order. The outcome is Unknown if there is an error, such as no response.
func (w *serverClient) order(ctx context.Context, in site.Instance, o site.Order) (site.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := w.dialect.OrderRequest(in.Address, in.ID, o)
	if err != nil {
		return site.Unknown, err
	}
	// A connection that has carried an order carries no other one: a second copy of the answer would be
	// taken for the answer to that.
	status, data, conn, err := w.send(ctx, in, req, w.usedForOrders(in.InstanceKey))
	if err != nil {
		return site.Unknown, err
	}
	w.recordOrderConn(in.InstanceKey, conn)
	if w.dialect.IsReport(data) {
		return site.Unknown, errCopiedReport
	}
	return w.dialect.Outcome(status), nil
}

// usedForOrders returns the connections that must not carry another order to a server.
func (w *serverClient) usedForOrders(k site.InstanceKey) []conns.ConnID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orderConns[k])
}

// recordOrderConn records that a connection has carried an order to a server.
func (w *serverClient) recordOrderConn(k site.InstanceKey, conn conns.ConnID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orderConns == nil {
		w.orderConns = map[site.InstanceKey][]conns.ConnID{}
	}
	used := append(w.orderConns[k], conn)
	w.orderConns[k] = used[max(0, len(used)-maxOrderConns):]
}

// forget drops what is remembered of a server.
func (w *serverClient) forget(k site.InstanceKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orderConns, k)
}

// send sends a request on a connection other than the given ones, and returns the response's status and body
// and its connection.
func (w *serverClient) send(ctx context.Context, in site.Instance, req *http.Request, avoid []conns.ConnID) (int, []byte, conns.ConnID, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return 0, nil, 0, err
		}
	}
	res, err := w.pool.Do(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}, &conns.Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: in.Address, Header: req.Header, Body: body,
		IsOwn: func(h http.Header) bool { return !w.dialect.NamesRequest(h) }, AvoidConns: avoid,
	})
	if err != nil {
		return 0, nil, 0, err
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err == nil && len(data) > maxReplyBytes {
		err = fmt.Errorf("reply over %d bytes", maxReplyBytes)
	}
	res.Finish(err == nil)
	return res.Status, data, res.Conn(), err
}
