package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// startTimeout bounds the question for the start of the process at the other end of a connection.
	startTimeout = 800 * time.Millisecond
	// maxReportBytes bounds the bytes that are read of a report.
	maxReportBytes = 1 << 20
	// maxProvenTries bounds the connections that are tried for one request until a process has named its start.
	maxProvenTries = 3
)

// Reports encodes requests for the reports of instances' processes, and decodes what identifies the process.
type Reports interface {
	ReportRequest(address string) (*http.Request, error)
	// DecodeStart decodes the start of the process that sent a report, in Unix milliseconds; false if it names none.
	DecodeStart(data []byte) (int64, bool)
	// NamesRequest reports whether a response names the request that it belongs to.
	NamesRequest(h http.Header) bool
}

// ReplacedError reports that another process than the expected one has a connection's other end. Starts are in
// Unix milliseconds.
type ReplacedError struct {
	Expected, Start int64
}

// Error returns a message with both starts.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("the process started at %d instead of %d", e.Start, e.Expected)
}

// StartlessError reports a process that answers the request for its report without its start, as it knows no reports.
type StartlessError struct {
	// Status is that of the response.
	Status int
}

// Error returns a message with the status.
func (e *StartlessError) Error() string {
	return fmt.Sprintf("status %d, and no start of the process", e.Status)
}

// UnreadyError reports a process that can't answer the request for its report for now.
type UnreadyError struct {
	// Status is that of the response.
	Status int
}

// Error returns a message with the status.
func (e *UnreadyError) Error() string {
	return fmt.Sprintf("no report for now: status %d", e.Status)
}

// errClosing reports a connection that the instance closes after its report.
var errClosing = errors.New("the connection ends after the report")

// SetReports sets how processes are asked for their start; call it before requests that need one.
func (p *Pool) SetReports(r Reports) {
	p.reports = r
}

// connect returns a connection for a request. If the request needs it, the process at the other end has proved to
// be the one that the target names, so that all that arrives on the connection is from it.
func (p *Pool) connect(ctx context.Context, t Target, r *Request) (*conn, error) {
	for try := 1; ; try++ {
		c := p.idleConnection(t, r)
		isReused := c != nil
		if c == nil {
			var err error
			if c, err = p.dialTarget(ctx, t); err != nil {
				return nil, err
			}
		}
		if !r.ProvesStart || c.isProven {
			return c, nil
		}
		err := p.prove(ctx, t, c)
		if err == nil {
			return c, nil
		}
		var startless *StartlessError
		var replaced *ReplacedError
		hasAnswered := errors.As(err, &startless) || errors.As(err, &replaced)
		if startless == nil {
			c.close()
		}
		// An instance may close an idle connection at any time, and a new one after any response.
		if hasAnswered || try == maxProvenTries || ctx.Err() != nil || !isReused && !errors.Is(err, errClosing) {
			return nil, err
		}
	}
}

// prove asks the process at the other end of a connection for its start; nil if it is that of the target. After a
// *StartlessError the connection is idle, after other errors it is the caller's to close.
func (p *Pool) prove(ctx context.Context, t Target, c *conn) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	req, err := p.reports.ReportRequest(t.Address)
	if err != nil {
		return err
	}
	p.proofs.Inc()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	res, _, err := c.exchange(&Request{
		Method: req.Method, URI: req.URL.RequestURI(), Host: t.Address, Header: req.Header,
		IsOwn: func(h http.Header) bool { return !p.reports.NamesRequest(h) },
	})
	if err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes+1))
	if err != nil {
		return err
	}
	isOpen := stop() && !res.Close && len(data) <= maxReportBytes && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0) && c.hasNoMore()
	start, ok := p.reports.DecodeStart(data)
	switch {
	case !ok && (res.StatusCode >= http.StatusInternalServerError || res.StatusCode == http.StatusTooManyRequests):
		return &UnreadyError{Status: res.StatusCode}
	case !ok && isOpen:
		p.putIdle(t, c, reuseTime(res.Header.Get("Keep-Alive")))
		return &StartlessError{Status: res.StatusCode}
	case !ok:
		c.close()
		return &StartlessError{Status: res.StatusCode}
	case start != t.Born:
		p.replaced.Inc()
		return &ReplacedError{Expected: t.Born, Start: start}
	case !isOpen:
		return errClosing
	}
	c.isProven = true
	return nil
}
