package serve

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newServerWithConn returns a Server, a connection of it, and its count of served requests.
func newServerWithConn() (c *Server, conn *serverConn, served *int) {
	served = new(int)
	c = New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *served++ })})
	connEnd, _ := net.Pipe()
	return c, &serverConn{Conn: connEnd, server: c}, served
}

// serveRequest calls the handler with a request of a connection, as http.Server does
// after reading the header; aborted is true if the handler was aborted.
func serveRequest(c *Server, conn net.Conn) (w *httptest.ResponseRecorder, aborted bool) {
	ctx := context.WithValue(context.Background(), connKey{}, conn)
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	c.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
	return w, false
}

// TestRequestOfClosedConnectionIsNotServed closes a connection as idle after
// http.Server has read a request from it, but before the handler is called.
func TestRequestOfClosedConnectionIsNotServed(t *testing.T) {
	g := NewWithT(t)
	c, conn, served := newServerWithConn()
	c.connStateChanged(conn, http.StateIdle)
	for _, idle := range c.connsIdleBefore(time.Now().Add(time.Second)) {
		g.Expect(idle.Close()).To(Succeed())
	}
	_, aborted := serveRequest(c, conn)
	g.Expect(aborted).To(BeTrue())
	g.Expect(*served).To(BeZero())
}

// TestConnectionInUseIsNotClosed closes a connection while it serves a request, as
// http.Server may do on shutdown if it still considers the connection idle.
func TestConnectionInUseIsNotClosed(t *testing.T) {
	g := NewWithT(t)
	c, conn, _ := newServerWithConn()
	c.handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(conn.closed).To(BeFalse())
	})
	_, aborted := serveRequest(c, conn)
	g.Expect(aborted).To(BeFalse())
	g.Expect(conn.Close()).To(Succeed())
	g.Expect(conn.closed).To(BeTrue())
}

// TestStoppingClosesConnectionsBeforeRejectingRequests checks both stages of stopping:
// requests are first served with Connection: close, and aborted after the drain.
func TestStoppingClosesConnectionsBeforeRejectingRequests(t *testing.T) {
	g := NewWithT(t)
	c, conn, served := newServerWithConn()
	w, _ := serveRequest(c, conn)
	g.Expect(w.Header().Get("Connection")).To(BeEmpty())
	c.CloseAfterAnswers()
	w, _ = serveRequest(c, conn)
	g.Expect(w.Header().Get("Connection")).To(Equal("close"))
	g.Expect(c.Drain(context.Background())).To(Succeed())
	_, aborted := serveRequest(c, conn)
	g.Expect(aborted).To(BeTrue())
	g.Expect(*served).To(Equal(2))
}
