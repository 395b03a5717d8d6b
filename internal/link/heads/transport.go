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
		return &judgedConn{Conn: raw}, nil
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
		return &judgedConn{Conn: raw}, nil
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
	// writes counts the writes that are under way, and written the bytes of those that ended, the last one
	// with writeErr.
	writes   int
	written  int64
	writeErr error
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
	switch {
	case judged != nil:
		err = judged
	case errors.Is(err, io.EOF) && c.judge.EndsWithConnection() && (c.writes > 0 || c.writeErr != nil):
		// The write may have taken the error that this read would have returned.
		err = &CutUploadError{Written: c.written, Err: c.writeErr}
	}
	return n, err
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
	return n, err
}
