package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/test/memnet"
)

// isOpen reports whether the other end has not closed a connection.
func isOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return false
	}
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// TestConnectionsBeyondTheLimit guards against running out of descriptors, and against closing
// connections in use while others are idle.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	const limit = 3
	const (
		idle    = "idle"
		silent  = "silent"
		serving = "serving"
		// partial is a connection with half a second request.
		partial = "partial"
	)
	for _, c := range []struct {
		name   string
		states []string
		// endSlow is the answer of the limit's EndSlow.
		endSlow bool
		// closed is the index of the connection that is closed, limit for the new one, -1 for none.
		closed int
	}{
		{"longest idle first", []string{silent, idle, idle}, false, 1},
		{"longest without a header", []string{serving, silent, silent}, false, 1},
		{"half a second header", []string{serving, partial, silent}, false, 1},
		{"none but those in use", []string{serving, serving, serving}, false, limit},
		{"a stalled request ends", []string{serving, serving, serving}, true, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				defer network.Close()
				release := make(chan struct{})
				s := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/serving" {
						<-release
					}
				})})
				s.SetLimit(Limit{Connections: limit, EndSlow: func() bool { return c.endSlow }})
				var group conc.WaitGroup
				listener := network.Listen("front:1")
				group.Go(func() { _ = s.Serve(listener) })
				dial := func(text string, answered bool) net.Conn {
					conn, err := network.Dial(t.Context(), "front:1")
					g.Expect(err).NotTo(HaveOccurred())
					_, _ = io.WriteString(conn, text)
					if answered {
						_, err = http.ReadResponse(bufio.NewReader(conn), nil)
						g.Expect(err).NotTo(HaveOccurred())
					}
					time.Sleep(time.Second)
					return conn
				}
				const request = " HTTP/1.1\r\nHost: front\r\n\r\n"
				var conns []net.Conn
				for _, state := range c.states {
					switch state {
					case idle:
						conns = append(conns, dial("GET /"+request, true))
					case silent:
						conns = append(conns, dial("GET /half", false))
					case partial:
						conns = append(conns, dial("GET /"+request, true))
						_, _ = io.WriteString(conns[len(conns)-1], "GET /half")
					case serving:
						conns = append(conns, dial("GET /serving"+request, false))
					}
				}
				conns = append(conns, dial("", false))
				for i, conn := range conns {
					g.Expect(isOpen(conn)).To(Equal(i != c.closed), "connection %d", i)
				}
				close(release)
				for _, conn := range conns {
					_ = conn.Close()
				}
				time.Sleep(time.Second)
				s.mu.Lock()
				g.Expect(s.open).To(BeZero())
				g.Expect(s.headerSince).To(BeEmpty())
				g.Expect(s.idleSince).To(BeEmpty())
				s.mu.Unlock()
				s.Close()
				group.Wait()
			})
		})
	}
}

// TestHeadersWithoutEndAreBounded guards against connections that fill the memory with headers that
// never become whole: beyond the limit, the one that has sent most is closed.
func TestHeadersWithoutEndAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New()
		defer network.Close()
		s := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		s.SetLimit(Limit{HeaderBytes: 10_000})
		var group conc.WaitGroup
		listener := network.Listen("front:1")
		group.Go(func() { _ = s.Serve(listener) })
		var conns []net.Conn
		for _, n := range []int{3000, 5000, 1900, 1000} {
			conn, err := network.Dial(t.Context(), "front:1")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: front\r\nX: "+strings.Repeat("x", n))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			conns = append(conns, conn)
		}
		for i, conn := range conns {
			g.Expect(isOpen(conn)).To(Equal(i != 1), "connection %d", i)
		}
		_, err := io.WriteString(conns[0], "\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusOK))
		for _, conn := range conns {
			_ = conn.Close()
		}
		time.Sleep(time.Second)
		s.mu.Lock()
		g.Expect(s.headerBytes).To(BeZero())
		s.mu.Unlock()
		s.Close()
		group.Wait()
	})
}

// TestUnreadBodiesDoNotHoldConnections guards against requests that are refused before their bodies
// are read: net/http reads the rest first, and one that never comes held the connection for good,
// without an answer and beyond the reach of the limit. A request whose body was read keeps its connection.
func TestUnreadBodiesDoNotHoldConnections(t *testing.T) {
	const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n5\r\nabcd"
	for _, c := range []struct {
		name, path, body string
		// keeps is true if the connection stays open.
		keeps bool
	}{
		{"one byte short", "/refused", "Content-Length: 5\r\n\r\nabcd", false},
		{"chunk one byte short", "/refused", chunkedBody, false},
		{"refused after a part", "/part", "Content-Length: 5\r\n\r\nabcd", false},
		{"whole and not read", "/refused", "Content-Length: 5\r\n\r\nabcde", true},
		{"whole and read", "/read", "Content-Length: 5\r\n\r\nabcde", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				network := memnet.New()
				defer network.Close()
				s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch r.URL.Path {
					case "/part":
						_, _ = r.Body.Read(make([]byte, 2))
					case "/read":
						_, _ = io.ReadAll(r.Body)
					}
					w.WriteHeader(http.StatusUnauthorized)
				})})
				var group conc.WaitGroup
				listener := network.Listen("front:1")
				group.Go(func() { _ = s.Serve(listener) })
				conn, err := network.Dial(t.Context(), "front:1")
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: front\r\n"+c.body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(res.StatusCode).To(Equal(http.StatusUnauthorized))
				time.Sleep(5 * time.Second)
				g.Expect(isOpen(conn)).To(Equal(c.keeps))
				_ = conn.Close()
				s.Close()
				group.Wait()
			})
		})
	}
}
