package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/plat/follow"
)

const (
	// headerTimeout bounds the reading of a request's head until a configuration says otherwise.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's head; configurations ask for less.
	maxHeaderBytes = 64 << 10
	// idleExtra is kept beyond the configured idle time, so that a request on its way finds the connection open.
	idleExtra = time.Second
	// flushTime bounds the wait for the last answers to leave the process.
	flushTime = 500 * time.Millisecond
)

// phase is how far the callers' side has come in stopping; its zero value is that it serves.
type phase int

const (
	// closing means that connections end with their next answer.
	closing phase = iota + 1
	// finishing means that requests are taken until none is under way.
	finishing
	// ended means that no request is taken any more.
	ended
)

// callers serves the callers' connections. http.Server may close a connection
// as idle of which it has just read a request, and would still hand on the
// request; so a request and the closing of its connection exclude each other here.
type callers struct {
	server *http.Server
	inner  http.Handler
	sites  *follow.Follower
	mu     sync.Mutex
	idle   map[net.Conn]time.Time
	phase  phase
	active int
	// over is closed when the last request has ended.
	over chan struct{}
}

// callerConn is a connection of a caller; its fields belong to the lock of its callers.
type callerConn struct {
	net.Conn
	callers *callers
	// taken is set while a request of the connection is under way.
	taken  bool
	closed bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func newCallers(h http.Handler, sites *follow.Follower) *callers {
	c := &callers{inner: h, sites: sites, idle: map[net.Conn]time.Time{}, over: make(chan struct{})}
	c.server = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.moved,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return c
}

// callerListener gives connections their state.
type callerListener struct {
	net.Listener
	callers *callers
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, callers: l.callers}, nil
}

// Close closes the connection, unless a request has been taken from it.
func (k *callerConn) Close() error {
	k.callers.mu.Lock()
	if k.taken && k.callers.phase != ended {
		k.callers.mu.Unlock()
		return nil
	}
	k.closed = true
	k.callers.mu.Unlock()
	return k.Conn.Close()
}

// ServeHTTP hands a request on, unless its connection was closed or the front has ended.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	last, ok := c.enter(conn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.leave(conn)
	if last {
		w.Header().Set("Connection", "close")
	}
	c.inner.ServeHTTP(w, r)
}

// enter counts a request in; last is true if its connection ends with it.
func (c *callers) enter(conn *callerConn) (last, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == ended || conn.closed {
		return false, false
	}
	conn.taken = true
	c.active++
	return c.phase >= closing, true
}

func (c *callers) leave(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.taken = false
	c.active--
	c.endIfQuiet()
}

// endIfQuiet ends the taking of requests if none is under way; the caller holds the lock.
func (c *callers) endIfQuiet() {
	if c.phase == finishing && c.active == 0 {
		c.phase = ended
		close(c.over)
	}
}

// moved notes when a connection turns idle.
func (c *callers) moved(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
}

// sweep closes connections that have been idle for longer than the configuration in force allows.
func (c *callers) sweep() {
	doc := c.sites.State().Document
	if doc == nil || doc.Limits.IdleTimeout <= 0 {
		return
	}
	for _, conn := range c.idleSince(time.Now().Add(-doc.Limits.IdleTimeout - idleExtra)) {
		// The connection leaves the map by its state's change.
		_ = conn.Close()
	}
}

// idleSince returns the connections that have been idle since a time or longer.
func (c *callers) idleSince(t time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, since := range c.idle {
		if since.Before(t) {
			out = append(out, conn)
		}
	}
	return out
}

func (c *callers) serve(l net.Listener) error {
	return closedIsFine(c.server.Serve(callerListener{l, c}))
}

// closeAfterAnswers ends connections with their next answer.
func (c *callers) closeAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = max(c.phase, closing)
}

// finish takes no new connections and waits until no request is under way,
// after which none is taken; the error is ctx's.
func (c *callers) finish(ctx context.Context) error {
	c.mu.Lock()
	c.phase = max(c.phase, finishing)
	c.endIfQuiet()
	c.mu.Unlock()
	flush, cancel := context.WithCancel(ctx)
	defer cancel()
	flushed := make(chan error, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { flushed <- c.server.Shutdown(flush) })
	select {
	case <-c.over:
	case <-ctx.Done():
		return ctx.Err()
	}
	// What the server still waits for are answers on their way out, or connections that never carried a request.
	timer := time.AfterFunc(flushTime, cancel)
	defer timer.Stop()
	if err := <-flushed; err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

func (c *callers) close() {
	c.mu.Lock()
	c.phase = ended
	c.mu.Unlock()
	// The process ends; a connection that fails to close ends with it.
	_ = c.server.Close()
}
