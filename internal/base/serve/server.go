package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lingerTime is how long a stopping server without requests waits for those that it has read in part.
	lingerTime = 200 * time.Millisecond
	// flushTimeout bounds the wait for the last answers to be written.
	flushTimeout = 500 * time.Millisecond
)

// stopPhase is the progress of stopping a server; its zero value is serving normally.
type stopPhase int

const (
	// closingConnections means that each connection closes after its next answer.
	closingConnections stopPhase = iota + 1
	// finishingRequests means that requests are accepted until none is in flight.
	finishingRequests
	// stopped means that requests are no longer accepted.
	stopped
)

// Server serves HTTP connections. http.Server may close a connection as idle although it has just
// read a request from it, and still call the handler. So Server lets a connection either serve a
// request or be closed, never both.
type Server struct {
	server  *http.Server
	handler http.Handler
	mu      sync.Mutex
	// idleSince is when the idle connections became idle.
	idleSince map[net.Conn]time.Time
	// listener is the one that serve accepts connections from, nil before that.
	listener       net.Listener
	phase          stopPhase
	activeRequests int
	// begunRequests counts the requests so far.
	begunRequests uint64
	// drained is closed when the last request has ended after Drain was called.
	drained chan struct{}
}

// serverConn is an accepted connection; the lock of its server guards its fields.
type serverConn struct {
	net.Conn
	server *Server
	// inRequest is set while the connection serves a request.
	inRequest bool
	closed    bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New returns a server with the timeouts, limits and base context of h; its handler is served, and
// its ConnState and ConnContext are replaced.
func New(h *http.Server) *Server {
	c := &Server{server: h, handler: h.Handler, idleSince: map[net.Conn]time.Time{}, drained: make(chan struct{})}
	h.Handler, h.ConnState = c, c.connStateChanged
	h.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return c
}

// listener wraps accepted connections as serverConn.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection as a serverConn.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, server: l.server}, nil
}

// Close closes the connection, unless it is serving a request and the server has not stopped.
func (k *serverConn) Close() error {
	k.server.mu.Lock()
	if k.inRequest && k.server.phase != stopped {
		k.server.mu.Unlock()
		return nil
	}
	k.closed = true
	k.server.mu.Unlock()
	return k.Conn.Close()
}

// ServeHTTP serves a request, or aborts it if its connection was closed or the server has stopped.
func (c *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*serverConn)
	last, ok := c.beginRequest(conn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.endRequest(conn)
	if last {
		w.Header().Set("Connection", "close")
	}
	c.handler.ServeHTTP(w, r)
}

// beginRequest marks a connection as serving a request; last is true if it closes
// after the answer, and ok is false if the request must not be served.
func (c *Server) beginRequest(conn *serverConn) (last, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == stopped || conn.closed {
		return false, false
	}
	conn.inRequest = true
	c.activeRequests++
	c.begunRequests++
	return c.phase >= closingConnections, true
}

// endRequest marks the request of a connection as ended.
func (c *Server) endRequest(conn *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inRequest = false
	c.activeRequests--
	c.stopIfIdle()
}

// stopIfIdle stops accepting requests if the server is finishing and none is in flight for
// lingerTime; the caller holds the lock.
func (c *Server) stopIfIdle() {
	if c.phase != finishingRequests || c.activeRequests > 0 {
		return
	}
	begun := c.begunRequests
	time.AfterFunc(lingerTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase == finishingRequests && c.begunRequests == begun {
			c.phase = stopped
			close(c.drained)
		}
	})
}

// connStateChanged records when connections become idle. While the server finishes, it closes
// those whose requests came before, as their answers didn't ask the callers to close.
func (c *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	if c.recordState(conn, state) >= finishingRequests && state == http.StateIdle {
		// Callers expect that idle connections may be closed.
		_ = conn.Close()
	}
}

// recordState records the time of a change to idle, and returns the current phase.
func (c *Server) recordState(conn net.Conn, state http.ConnState) stopPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
	} else {
		delete(c.idleSince, conn)
	}
	return c.phase
}

// CloseIdle closes connections that became idle at a time or before.
func (c *Server) CloseIdle(since time.Time) {
	for _, conn := range c.connsIdleBefore(since) {
		// connStateChanged removes the connection from the map.
		_ = conn.Close()
	}
}

// connsIdleBefore returns the connections that became idle at a time or before.
func (c *Server) connsIdleBefore(t time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, since := range c.idleSince {
		if !since.After(t) {
			out = append(out, conn)
		}
	}
	return out
}

// Serve accepts connections until the server is closed or drained, and then returns nil.
func (c *Server) Serve(l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	err := c.server.Serve(listener{l, c})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= finishingRequests {
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// CloseAfterAnswers makes each connection close after its next answer.
func (c *Server) CloseAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = max(c.phase, closingConnections)
}

// Drain accepts no new connections and waits until no request is in flight, after
// which requests are no longer accepted; it returns an error only if ctx ends first.
// Until then requests of open connections are answered: http.Server.Shutdown would close
// a connection whose first request it has read, without an answer.
func (c *Server) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.phase = max(c.phase, finishingRequests)
	accepting := c.listener
	c.stopIfIdle()
	c.mu.Unlock()
	if accepting != nil {
		// The process is about to exit, which closes a listener that fails to close here.
		_ = accepting.Close()
	}
	c.CloseIdle(time.Now())
	select {
	case <-c.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Shutdown waits for answers being written, and for connections that never carried a request.
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := c.server.Shutdown(flushCtx); err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

// Close stops accepting requests and closes all connections at once.
func (c *Server) Close() {
	c.mu.Lock()
	c.phase = stopped
	c.mu.Unlock()
	// The process is about to exit, which closes any connection that fails to close here.
	_ = c.server.Close()
}
