package serve

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// idle are the idle connections, and noHeader those without a whole header, each in the order in
	// which they became so. Their elements are *serverConn.
	idle, noHeader list.List
	limit          Limit
	// open is the number of open connections.
	open int
	// connClosed delivers when a connection has closed.
	connClosed chan struct{}
	// headerBytes is what they have sent of headers that are not whole.
	headerBytes int64
	// listener is the one that Serve accepts connections from, nil before that.
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
	// counted is true while the connection counts as open.
	counted bool
	// place is where the connection is in the list in, nil if it is in none, and since when.
	place *list.Element
	in    *list.List
	since time.Time
	// headerBytes is what was read since the last request.
	headerBytes int64
	// body is that of the current request; it is not guarded by the lock.
	body requestBody
	// serving is inRequest, read without the lock.
	serving atomic.Bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New returns a server with the timeouts, limits and base context of h; its handler is served, and
// its ConnState and ConnContext are replaced.
func New(h *http.Server) *Server {
	s := &Server{server: h, handler: h.Handler, connClosed: make(chan struct{}, 1), drained: make(chan struct{})}
	h.Handler, h.ConnState = s, s.connStateChanged
	h.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return s
}

// listener wraps accepted connections as serverConn.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection as a serverConn.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &serverConn{Conn: conn, server: l.server}
		if l.server.admit(c) {
			return c, nil
		}
		// Nothing was read from it.
		_ = conn.Close()
	}
}

// Close closes the connection, unless it is serving a request and the server has not stopped.
func (c *serverConn) Close() error {
	c.server.mu.Lock()
	if c.inRequest && c.server.phase != stopped {
		c.server.mu.Unlock()
		return nil
	}
	c.server.countClosed(c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// ServeHTTP serves a request, or aborts it if its connection was closed or the server has stopped.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*serverConn)
	last, ok := s.beginRequest(conn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer s.endRequest(conn)
	if last {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		s.handler.ServeHTTP(w, r)
		return
	}
	conn.body = requestBody{ReadCloser: r.Body}
	r.Body = &conn.body
	s.handler.ServeHTTP(w, r)
	if !conn.body.atEnd {
		// The only expected error is that the connection is closed.
		_ = conn.SetReadDeadline(time.Now().Add(s.unreadBodyTimeout()))
	}
}

// maxUnreadBodyTimeout bounds the time for which net/http reads the rest of a body that a handler has
// not read to its end, as with a refusal. It does so before it writes the answer, without a deadline.
const maxUnreadBodyTimeout = time.Second

// unreadBodyTimeout returns the time for reading the rest of a body: none while there are more
// connections than the limit, so that those whose bodies were ended close at once.
func (s *Server) unreadBodyTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Connections > 0 && s.open > s.limit.Connections {
		return 0
	}
	return maxUnreadBodyTimeout
}

// requestBody is a request's body that records whether it was read to its end.
type requestBody struct {
	io.ReadCloser
	atEnd bool
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.atEnd = b.atEnd || errors.Is(err, io.EOF)
	return n, err
}

// beginRequest marks a connection as serving a request; last is true if it closes
// after the answer, and ok is false if the request must not be served.
func (s *Server) beginRequest(conn *serverConn) (last, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == stopped || conn.closed {
		return false, false
	}
	conn.inRequest = true
	conn.serving.Store(true)
	s.endHeader(conn)
	s.move(conn, nil)
	s.activeRequests++
	s.begunRequests++
	return s.phase >= closingConnections, true
}

// endRequest marks the request of a connection as ended.
func (s *Server) endRequest(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.inRequest = false
	conn.serving.Store(false)
	s.activeRequests--
	s.stopIfIdle()
}

// stopIfIdle stops accepting requests if the server is finishing and none is in flight for
// lingerTime; the caller holds the lock.
func (s *Server) stopIfIdle() {
	if s.phase != finishingRequests || s.activeRequests > 0 {
		return
	}
	begun := s.begunRequests
	time.AfterFunc(lingerTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.phase == finishingRequests && s.begunRequests == begun {
			s.phase = stopped
			close(s.drained)
		}
	})
}

// connStateChanged records when connections become idle. While the server finishes, it closes
// those whose requests came before, as their answers didn't ask the callers to close.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	if s.recordState(conn, state) >= finishingRequests && state == http.StateIdle {
		// Callers expect that idle connections may be closed.
		_ = conn.Close()
	}
}

// recordState records the time of a change to idle, and returns the current phase.
func (s *Server) recordState(conn net.Conn, state http.ConnState) stopPhase {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := conn.(*serverConn)
	if !ok || c.closed {
		return s.phase
	}
	switch {
	case state == http.StateIdle:
		s.move(c, &s.idle)
	case c.in == &s.idle && state == http.StateActive:
		s.move(c, &s.noHeader)
	case c.in == &s.idle:
		s.move(c, nil)
	}
	return s.phase
}

// move moves a connection to the end of a list, or to none if it is nil; the caller holds the lock.
func (s *Server) move(c *serverConn, to *list.List) {
	if c.place != nil {
		c.in.Remove(c.place)
		c.place, c.in = nil, nil
	}
	if to != nil {
		c.place, c.in, c.since = to.PushBack(c), to, time.Now()
	}
}

// CloseIdle closes connections that became idle at a time or before.
func (s *Server) CloseIdle(since time.Time) {
	for _, conn := range s.connsIdleBefore(since) {
		// Their callers expect that idle connections may be closed.
		_ = conn.Close()
	}
}

// connsIdleBefore returns the connections that became idle at a time or before.
func (s *Server) connsIdleBefore(t time.Time) []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []net.Conn
	for e := s.idle.Front(); e != nil; e = e.Next() {
		c, ok := e.Value.(*serverConn)
		if !ok || c.since.After(t) {
			break
		}
		out = append(out, c)
	}
	return out
}

// Serve accepts connections until the server is closed or drained, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.server.Serve(listener{l, s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase >= finishingRequests {
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// CloseAfterAnswers makes each connection close after its next answer.
func (s *Server) CloseAfterAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = max(s.phase, closingConnections)
}

// Drain accepts no new connections and waits until no request is in flight, after
// which requests are no longer accepted; it returns an error only if ctx ends first.
// Until then requests of open connections are answered: http.Server.Shutdown would close
// a connection whose first request it has read, without an answer.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.phase = max(s.phase, finishingRequests)
	accepting := s.listener
	s.stopIfIdle()
	s.mu.Unlock()
	if accepting != nil {
		// The process is about to exit, which closes a listener that fails to close here.
		_ = accepting.Close()
	}
	s.CloseIdle(time.Now())
	select {
	case <-s.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Shutdown waits for answers being written, and for connections that never carried a request.
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.server.Shutdown(flushCtx); err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

// Close stops accepting requests and closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.phase = stopped
	s.mu.Unlock()
	// The process is about to exit, which closes any connection that fails to close here.
	_ = s.server.Close()
}
