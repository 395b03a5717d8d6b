package conns

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxForeign bounds the answers to other requests that are skipped before the own one.
	maxForeign = 3
	// afterFailedWrite is how long an answer is awaited that an instance may have sent before it stopped reading.
	afterFailedWrite = 300 * time.Millisecond
)

// Request is one request to an instance.
type Request struct {
	Method string
	// URI is sent as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer is for this request and not a late one for another.
	Mine func(http.Header) bool
	// Fresh demands a new connection.
	Fresh bool
}

// Failure reports an exchange without an answer.
type Failure struct {
	// Sent is false only if nothing of the request can have reached the instance.
	Sent bool
	Err  error
}

// Error names the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("no answer (sent: %t): %v", f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// Response is an answer of which the body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed is false if only the connection's end marks the body's.
	Framed bool
	pool   *Pool
	target Target
	conn   *conn
	stop   func() bool
	close  bool
}

// Do sends a request once and returns the head of its answer; the error is a
// *Failure. The end of ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c := p.connection(t, r)
	if c == nil {
		var err error
		if c, err = p.open(ctx, t); err != nil {
			return nil, &Failure{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	res, sent, err := c.exchange(r)
	if err != nil {
		stop()
		c.close()
		return nil, &Failure{Sent: sent, Err: err}
	}
	return &Response{
		Status: res.StatusCode, Header: res.Header, Body: res.Body, Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
		pool: p, target: t, conn: c, stop: stop, close: res.Close,
	}, nil
}

func (p *Pool) connection(t Target, r *Request) *conn {
	if r.Fresh {
		return nil
	}
	c := p.take(t)
	if c != nil {
		p.reused.Inc()
	}
	return c
}

// exchange writes the request and reads the head of its answer.
func (c *conn) exchange(r *Request) (res *http.Response, sent bool, err error) {
	n, writeErr := c.Write(r.encode())
	if writeErr != nil && n == 0 {
		return nil, false, writeErr
	}
	if writeErr != nil {
		if err := c.SetReadDeadline(time.Now().Add(afterFailedWrite)); err != nil {
			return nil, true, writeErr
		}
	}
	res, err = c.answer(r)
	if err == nil && writeErr != nil {
		res.Close = true
	}
	return res, true, err
}

// answer reads heads until one is the request's own.
func (c *conn) answer(r *Request) (*http.Response, error) {
	for range maxForeign {
		res, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(res.Header) {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		if res.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, fmt.Errorf("%d answers in a row belong to other requests", maxForeign)
}

// encode returns the request as sent.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Done ends the exchange; the connection is kept only if the body was read to
// its end, nothing follows it, and neither side asked to close.
func (r *Response) Done(whole bool) {
	if !r.stop() || !whole || r.close || !r.Framed || r.conn.in.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.pool.put(r.target, r.conn, idleTime(r.Header.Get("Keep-Alive")))
}

// maxDiscard bounds the body that is read only to keep the connection.
const maxDiscard = 64 << 10

// Discard ends an exchange whose body is of no use.
func (r *Response) Discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscard))
	r.Done(err == nil && n < maxDiscard)
}
