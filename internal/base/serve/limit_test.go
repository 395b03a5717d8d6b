package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
		// endStalled is the answer of the limit's EndStalled.
		endStalled bool
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
				s.SetLimit(Limit{Connections: limit, EndStalled: func() bool { return c.endStalled }})
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
