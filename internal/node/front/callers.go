package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailcroft/internal/plat/follow"
)

const (
	// headerTimeout bounds the time for reading a request's header; the configured limit is not applied here.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header; the configured limit, a lower one, is not applied here.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMargin is added to the configured idle timeout, so that a request
	// sent just before the timeout still finds its connection open.
	idleTimeoutMargin = time.Second
	// flushTimeout bounds the wait for the last answers to be written.
	flushTimeout = 500 * time.Millisecond
)

// stopPhase is the progress of stopping a callerServer; its zero value is serving normally.
type stopPhase int

const (
	// closingConnections means that each connection closes after its next answer.
	closingConnections stopPhase = iota + 1
	// finishingRequests means that requests are accepted until none is in flight.
	finishingRequests
	// stopped means that requests are no longer accepted.
	stopped
)

// callerServer serves callers' connections. http.Server may close a connection as
// idle although it has just read a request from it, and still call the handler.
// So callerServer lets a connection either serve a request or be closed, never both.
type callerServer struct {
	server   *http.Server
	handler  http.Handler
	follower *follow.Follower
	mu       sync.Mutex
	// idleSince is when the idle connections became idle.
	idleSince map[net.Conn]time.Time
	// listener is the one that serve accepts connections from, nil before that.
	listener       net.Listener
	phase          stopPhase
	activeRequests int
	// drained is closed when the last request has ended after drain was called.
	drained chan struct{}
}

// callerConn is a connection of a caller; the lock of its server guards its fields.
type callerConn struct {
	net.Conn
	server *callerServer
	// inRequest is set while the connection serves a request.
	inRequest bool
	closed    bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newCallerServer(h http.Handler, follower *follow.Follower) *callerServer {
	c := &callerServer{handler: h, follower: follower, idleSince: map[net.Conn]time.Time{}, drained: make(chan struct{})}
	c.server = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.connStateChanged,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return c
}

// callerListener wraps accepted connections as callerConn.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept returns the next connection as a callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, server: l.server}, nil
}

// Close closes the connection, unless it is serving a request and the server has not stopped.
func (k *callerConn) Close() error {
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
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
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
func (c *callerServer) beginRequest(conn *callerConn) (last, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == stopped || conn.closed {
		return false, false
	}
	conn.inRequest = true
	c.activeRequests++
	return c.phase >= closingConnections, true
}

// endRequest marks the request of a connection as ended.
func (c *callerServer) endRequest(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inRequest = false
	c.activeRequests--
	c.stopIfIdle()
}

// stopIfIdle stops accepting requests if the server is finishing and none is in flight; the caller holds the lock.
func (c *callerServer) stopIfIdle() {
	if c.phase == finishingRequests && c.activeRequests == 0 {
		c.phase = stopped
		close(c.drained)
	}
}

// connStateChanged records when connections become idle. While the server finishes, it closes
// those whose requests came before, as their answers didn't ask the callers to close.
func (c *callerServer) connStateChanged(conn net.Conn, state http.ConnState) {
	if c.recordState(conn, state) >= finishingRequests && state == http.StateIdle {
		// Callers expect that idle connections may be closed.
		_ = conn.Close()
	}
}

// recordState records the time of a change to idle, and returns the current phase.
func (c *callerServer) recordState(conn net.Conn, state http.ConnState) stopPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
	} else {
		delete(c.idleSince, conn)
	}
	return c.phase
}

// closeIdle closes connections that have been idle for longer than the current configuration allows.
func (c *callerServer) closeIdle() {
	doc := c.follower.State().Document
	if doc == nil || doc.Limits.IdleTimeout <= 0 {
		return
	}
	for _, conn := range c.connsIdleBefore(time.Now().Add(-doc.Limits.IdleTimeout - idleTimeoutMargin)) {
		// connStateChanged removes the connection from the map.
		_ = conn.Close()
	}
}

// connsIdleBefore returns the connections that became idle at a time or before.
func (c *callerServer) connsIdleBefore(t time.Time) []net.Conn {
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

// serve accepts connections until the server is closed or drained.
func (c *callerServer) serve(l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	err := c.server.Serve(callerListener{l, c})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= finishingRequests {
		return nil
	}
	return ignoreServerClosed(err)
}

// closeAfterAnswers makes each connection close after its next answer.
func (c *callerServer) closeAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = max(c.phase, closingConnections)
}

// drain accepts no new connections and waits until no request is in flight, after
// which requests are no longer accepted; it returns an error only if ctx ends first.
// Until then requests of open connections are answered: http.Server.Shutdown would close
// a connection whose first request it has read, without an answer.
func (c *callerServer) drain(ctx context.Context) error {
	c.mu.Lock()
	c.phase = max(c.phase, finishingRequests)
	listener := c.listener
	c.stopIfIdle()
	c.mu.Unlock()
	if listener != nil {
		// The process is about to exit, which closes a listener that fails to close here.
		_ = listener.Close()
	}
	for _, conn := range c.connsIdleBefore(time.Now()) {
		_ = conn.Close()
	}
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

// close stops accepting requests and closes all connections at once.
func (c *callerServer) close() {
	c.mu.Lock()
	c.phase = stopped
	c.mu.Unlock()
	// The process is about to exit, which closes any connection that fails to close here.
	_ = c.server.Close()
}
