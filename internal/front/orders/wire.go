package orders

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

const (
	// reportTimeout bounds the reading of a report.
	reportTimeout = 800 * time.Millisecond
	// orderTimeout is when an order without answer counts as possibly accepted.
	orderTimeout = time.Second
	// maxReport bounds the bytes read of a report.
	maxReport = 1 << 20
)

// Dialect words reports and orders for the model servers.
type Dialect interface {
	ReportRequest(address string) (*http.Request, error)
	Report(data []byte) (site.Report, error)
	OrderRequest(address, instance string, o site.Order) (*http.Request, error)
	Outcome(status int) site.Outcome
}

// wire speaks to model servers.
type wire struct {
	pool    *conns.Pool
	dialect Dialect
}

// report reads a server's report.
func (w *wire) report(ctx context.Context, in site.Instance) (site.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := w.dialect.ReportRequest(in.Address)
	if err != nil {
		return site.Report{}, err
	}
	status, data, err := w.send(ctx, in, req)
	if err != nil {
		return site.Report{}, err
	}
	if status != http.StatusOK {
		return site.Report{}, fmt.Errorf("status %d", status)
	}
	return w.dialect.Report(data)
}

// order gives an order; an answer that does not come leaves the outcome unknown.
func (w *wire) order(ctx context.Context, in site.Instance, o site.Order) (site.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := w.dialect.OrderRequest(in.Address, in.ID, o)
	if err != nil {
		return site.Unknown, err
	}
	status, _, err := w.send(ctx, in, req)
	if err != nil {
		return site.Unknown, err
	}
	return w.dialect.Outcome(status), nil
}

func (w *wire) send(ctx context.Context, in site.Instance, req *http.Request) (int, []byte, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return 0, nil, err
		}
	}
	res, err := w.pool.Do(ctx, conns.Target{Key: in.Key, Address: in.Address}, &conns.Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: in.Address, Header: req.Header, Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReport))
	res.Done(err == nil)
	return res.Status, data, err
}
