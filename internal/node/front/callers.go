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
	// headerTimeout bounds the reading of a request's head until a configuration says otherwise.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's head; configurations ask for less.
	maxHeaderBytes = 64 << 10
	// idleExtra is kept beyond the configured idle time, so that a request on its way finds the connection open.
	idleExtra = time.Second
)

// callers serves the callers' connections.
type callers struct {
	server *http.Server
	sites  *follow.Follower
	mu     sync.Mutex
	idle   map[net.Conn]time.Time
}

func newCallers(h http.Handler, sites *follow.Follower) *callers {
	c := &callers{sites: sites, idle: map[net.Conn]time.Time{}}
	c.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: c.moved}
	return c
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
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) > doc.Limits.IdleTimeout+idleExtra {
			// The connection leaves the map by its state's change.
			_ = conn.Close()
		}
	}
}

func (c *callers) serve(l net.Listener) error {
	return closedIsFine(c.server.Serve(l))
}

// closeAfterAnswers asks callers to close their connections with the next answer.
func (c *callers) closeAfterAnswers() {
	c.server.SetKeepAlivesEnabled(false)
}

func (c *callers) shutdown(ctx context.Context) error {
	return c.server.Shutdown(ctx)
}

func (c *callers) close() {
	// The process ends; a connection that fails to close ends with it.
	_ = c.server.Close()
}
