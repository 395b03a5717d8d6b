package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pair returns callers that count the requests handed on, and one connection of theirs.
func pair() (c *callers, conn *callerConn, handed *int) {
	handed = new(int)
	c = newCallers(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *handed++ }), nil)
	near, _ := net.Pipe()
	return c, &callerConn{Conn: near, callers: c}, handed
}

// serveOn hands a request of a connection to the callers, as http.Server does
// after reading its head; aborted is true if the answer was broken off.
func serveOn(c *callers, conn net.Conn) (w *httptest.ResponseRecorder, aborted bool) {
	ctx := context.WithValue(context.Background(), connKey{}, conn)
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	c.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
	return w, false
}

// TestRequestOfAClosedConnectionIsNotHandedOn closes a connection as idle after
// the server has read a request of it and before it knows.
func TestRequestOfAClosedConnectionIsNotHandedOn(t *testing.T) {
	g := NewWithT(t)
	c, conn, handed := pair()
	c.moved(conn, http.StateIdle)
	for _, idle := range c.idleSince(time.Now().Add(time.Second)) {
		g.Expect(idle.Close()).To(Succeed())
	}
	_, aborted := serveOn(c, conn)
	g.Expect(aborted).To(BeTrue())
	g.Expect(*handed).To(BeZero())
}

// TestConnectionWithARequestIsNotClosed closes a connection as idle, as
// http.Server may when it stops, at the moment at which a request of it was taken.
func TestConnectionWithARequestIsNotClosed(t *testing.T) {
	g := NewWithT(t)
	c, conn, _ := pair()
	c.inner = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(conn.closed).To(BeFalse())
	})
	_, aborted := serveOn(c, conn)
	g.Expect(aborted).To(BeFalse())
	g.Expect(conn.Close()).To(Succeed())
	g.Expect(conn.closed).To(BeTrue())
}

func TestPhasesOfStopping(t *testing.T) {
	g := NewWithT(t)
	c, conn, handed := pair()
	w, _ := serveOn(c, conn)
	g.Expect(w.Header().Get("Connection")).To(BeEmpty())
	c.closeAfterAnswers()
	w, _ = serveOn(c, conn)
	g.Expect(w.Header().Get("Connection")).To(Equal("close"))
	g.Expect(c.finish(context.Background())).To(Succeed())
	_, aborted := serveOn(c, conn)
	g.Expect(aborted).To(BeTrue())
	g.Expect(*handed).To(Equal(2))
}
