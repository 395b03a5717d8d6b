package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"foxtailcroft/internal/link/heads"
)

const (
	// maxForeignResponses bounds the heads read for one request, including skipped responses to other requests.
	maxForeignResponses = 3
	// failedWriteReadTimeout bounds the wait for a response that the instance may have sent before it stopped reading.
	failedWriteReadTimeout = 300 * time.Millisecond
)

// Request is one request to an instance.
type Request struct {
	Method string
	// URI is the request target, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MoreBody follows Body; requests with it are written with one vectored write, without a copy.
	MoreBody [][]byte
	// IsOwn reports whether a response belongs to this request rather than to an earlier one; nil accepts any.
	IsOwn func(http.Header) bool
	// AvoidConns are the connections that must not be used. IsOwn can't tell the responses to two attempts
	// of one request apart, and an instance may send the first one a second time.
	AvoidConns []ConnID
	// NewConnection requires a new connection.
	NewConnection bool
	// ProvesStart requires that the process at the other end of the connection has named the target's start on it.
	ProvesStart bool
}

// Failure is the error of a request without a response.
type Failure struct {
	// Sent is false only if no byte of the request can have reached the instance.
	Sent bool
	Err  error
}

// Error returns a message with Sent and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("no answer (sent: %t): %v", f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// Response is a response whose body has not been read; end it with Finish or Discard.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// HasLength is false if the body ends only with the connection.
	HasLength        bool
	pool             *Pool
	target           Target
	conn             *conn
	stopContextClose func() bool
	closeRequested   bool
}

// ConnID identifies a connection of a pool.
type ConnID uint64

// Conn returns the connection that the response came on.
func (r *Response) Conn() ConnID {
	return r.conn.id
}

// Do sends a request once and returns its response with the body unread; errors
// are *Failure. When ctx is done, the connection is closed, also while the body
// is being read.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.connect(ctx, t, r)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	res, sent, err := c.exchange(r)
	if err != nil {
		stop()
		c.close()
		if broken := (*heads.GrammarError)(nil); errors.As(err, &broken) {
			p.malformed.Inc()
		}
		return nil, &Failure{Sent: sent, Err: err}
	}
	return &Response{
		Status: res.StatusCode, Header: res.Header, Body: res.Body, HasLength: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
		pool: p, target: t, conn: c, stopContextClose: stop, closeRequested: res.Close,
	}, nil
}

func (p *Pool) idleConnection(t Target, r *Request) *conn {
	if r.NewConnection {
		return nil
	}
	c := p.takeIdle(t, r.AvoidConns)
	if c != nil {
		p.reused.Inc()
	}
	return c
}

// exchange writes the request and reads the head of its response; sent is false if nothing was written.
func (c *conn) exchange(r *Request) (res *http.Response, sent bool, err error) {
	n, writeErr := c.writeRequest(r)
	if writeErr != nil && n == 0 {
		return nil, false, writeErr
	}
	if writeErr != nil {
		if err := c.SetReadDeadline(time.Now().Add(failedWriteReadTimeout)); err != nil {
			return nil, true, writeErr
		}
	}
	res, err = c.readOwnResponse(r)
	if err == nil && writeErr != nil {
		res.Close = true
		if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody {
			res.Body = &cutBody{res.Body, &heads.CutUploadError{Written: n, Err: writeErr}}
		}
	}
	return res, true, err
}

// cutBody is a body that ends with an error.
type cutBody struct {
	io.ReadCloser
	err error
}

// Read reads from the body; its end is the error.
func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

// writeRequest writes the request; n is 0 only if no byte of it can have left.
func (c *conn) writeRequest(r *Request) (n int64, err error) {
	if len(r.MoreBody) == 0 {
		written, err := c.Write(r.encode())
		return int64(written), err
	}
	buffers := append(net.Buffers{r.encodeHead(), r.Body}, r.MoreBody...)
	return buffers.WriteTo(c.Conn)
}

// readOwnResponse skips informational responses and those to other requests.
func (c *conn) readOwnResponse(r *Request) (*http.Response, error) {
	c.head.left = maxHeadBytes
	c.head.judge.Expect(r.Method)
	defer func() { c.head.left = -1 }()
	for range maxForeignResponses {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.IsOwn == nil || r.IsOwn(res.Header) {
			return res, nil
		}
		// The bound on the head also covers this body, so that it can't be without end.
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		if res.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, fmt.Errorf("%d answers in a row belong to other requests", maxForeignResponses)
}

// encode returns the request in HTTP/1.1 format.
func (r *Request) encode() []byte {
	return append(r.encodeHead(), r.Body...)
}

// encodeHead returns the request line and the headers, with room for a body that is not split.
func (r *Request) encodeHead() []byte {
	length := len(r.Body)
	room := length
	for _, b := range r.MoreBody {
		length += len(b)
		room = 0
	}
	var b bytes.Buffer
	b.Grow(512 + room)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// Finish ends the exchange. The connection returns to the pool only if the body
// was read to its end (whole), no bytes follow it, and neither side asked to
// close.
func (r *Response) Finish(whole bool) {
	if !r.stopContextClose() || !whole || r.closeRequested || !r.HasLength || !r.conn.hasNoMore() {
		r.conn.close()
		return
	}
	r.pool.putIdle(r.target, r.conn, reuseTime(r.Header.Get("Keep-Alive")))
}

// maxDiscardBytes bounds the body that Discard reads to keep the connection.
const maxDiscardBytes = 64 << 10

// Discard ends an exchange whose body is not needed.
func (r *Response) Discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	r.Finish(err == nil && n < maxDiscardBytes)
}
