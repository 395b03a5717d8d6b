package heads

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Transport returns a transport like base that reads only answers that keep to the grammar of HTTP/1.1; the
// others end with a *GrammarError. It uses connections of its own, and HTTP/1.1 only. Only those of a
// *http.Transport can be judged, and none that go through a proxy to an https server; others are returned as they are.
func Transport(base http.RoundTripper) http.RoundTripper {
	t, ok := base.(*http.Transport)
	if !ok {
		return base
	}
	t = t.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newJudgedConn(raw), nil
	}
	if t.DialTLSContext == nil {
		t.DialTLSContext = tlsDial(dial, t.TLSClientConfig)
	}
	dialTLS := t.DialTLSContext
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialTLS(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newJudgedConn(raw), nil
	}
	return &judgedTransport{t}
}

// dialFunc dials like net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// tlsDial returns a dial function that also makes the TLS handshake.
func tlsDial(dial dialFunc, base *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := base.Clone()
		if config == nil {
			config = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if config.ServerName == "" {
			if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
				config.ServerName = address
			}
		}
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// judgedTransport tells the judges of its connections for which method the next answer is.
type judgedTransport struct {
	*http.Transport
}

// RoundTrip makes one call.
func (t *judgedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*judgedConn); ok {
			c.expect(r.Method)
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// judgedConn judges what is read from a connection.
type judgedConn struct {
	net.Conn
	mu    sync.Mutex
	judge Judge
	// hasWritten is true once something was written, and isTunnel if that was a CONNECT request.
	hasWritten, isTunnel bool
	// writes counts the writes that are under way, and written the bytes of those that ended, one of them with
	// writeErr; ended is signalled when one ends.
	writes   int
	written  int64
	writeErr error
	ended    *sync.Cond
}

func newJudgedConn(raw net.Conn) *judgedConn {
	c := &judgedConn{Conn: raw}
	c.ended = sync.NewCond(&c.mu)
	return c
}

func (c *judgedConn) expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judge.Expect(method)
}

// Read reads bytes that keep to the grammar.
func (c *judgedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isTunnel {
		return n, err
	}
	n, judged := c.judge.Judge(p[:n])
	if judged != nil {
		return n, judged
	}
	if errors.Is(err, io.EOF) && c.judge.EndsWithConnection() {
		// A write may have taken the error that this read would have returned, also one that has yet to return.
		c.awaitWrites()
		if c.writes > 0 || c.writeErr != nil {
			err = &CutUploadError{Written: c.written, Err: c.writeErr}
		}
	}
	return n, err
}

// writeEndWait is how long the end of an answer waits for a write to return; one that the server has read whole
// returns at once.
const writeEndWait = 300 * time.Millisecond

// awaitWrites waits for the writes that are under way, at most for writeEndWait; the caller holds the lock.
func (c *judgedConn) awaitWrites() {
	isOver := false
	timer := time.AfterFunc(writeEndWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		isOver = true
		c.ended.Broadcast()
	})
	defer timer.Stop()
	for c.writes > 0 && !isOver {
		c.ended.Wait()
	}
}

// Write writes a part of a request.
func (c *judgedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.isTunnel = c.isTunnel || !c.hasWritten && bytes.HasPrefix(p, []byte("CONNECT "))
	c.hasWritten = true
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.written += int64(n)
	if err != nil {
		c.writeErr = err
	}
	c.ended.Broadcast()
	return n, err
}
