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

// bodies answer as unfinished bodies of which there are always some; ended counts those that were ended.
type bodies struct {
	one, slow bool
	ended     [2]int
}

func (b *bodies) Unfinished() (one, slow bool) { return b.one, b.slow }
func (b *bodies) EndSlow()                     { b.ended[0]++ }
func (b *bodies) EndOldest()                   { b.ended[1]++ }

// TestConnectionsBeyondTheLimit guards against running out of descriptors, against closing connections
// in use while others are idle, and against closing one whose header is about to be read while
// unfinished bodies could be ended.
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
		// pause is the time between two connections.
		pause  time.Duration
		bodies bodies
		// closed is the index of the connection that is closed, limit for the new one, -1 for none.
		closed int
		// ended are the slow bodies and the oldest ones that were ended.
		ended [2]int
	}{
		{"longest idle first", []string{silent, idle, idle}, time.Second, bodies{one: true, slow: true}, 1, [2]int{}},
		{"longest without a header", []string{serving, silent, silent}, time.Second, bodies{one: true, slow: true}, 1, [2]int{}},
		{"half a second header", []string{serving, partial, silent}, time.Second, bodies{one: true, slow: true}, 1, [2]int{}},
		{"none but those in use", []string{serving, serving, serving}, time.Second, bodies{}, limit, [2]int{}},
		{"a stalled body ends", []string{serving, serving, serving}, time.Second, bodies{one: true, slow: true}, -1, [2]int{1, 0}},
		{"a slow body ends before a connection whose header may come", []string{serving, silent, silent}, 100 * time.Millisecond, bodies{one: true, slow: true}, -1, [2]int{1, 0}},
		{"so does any unfinished body", []string{serving, silent, silent}, 100 * time.Millisecond, bodies{one: true}, -1, [2]int{0, 1}},
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
				s.SetLimit(Limit{Connections: limit, Bodies: &c.bodies})
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
					time.Sleep(c.pause)
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
						time.Sleep(time.Millisecond)
					case serving:
						conns = append(conns, dial("GET /serving"+request, false))
					}
				}
				conns = append(conns, dial("", false))
				for i, conn := range conns {
					g.Expect(isOpen(conn)).To(Equal(i != c.closed), "connection %d", i)
				}
				g.Expect(c.bodies.ended).To(Equal(c.ended))
				close(release)
				for _, conn := range conns {
					_ = conn.Close()
				}
				time.Sleep(time.Second)
				s.mu.Lock()
				g.Expect(s.open).To(BeZero())
				g.Expect(s.noHeader.Len()).To(BeZero())
				g.Expect(s.idle.Len()).To(BeZero())
				s.mu.Unlock()
				s.Close()
				group.Wait()
			})
		})
	}
}

// TestNewConnectionWaitsForEndedBodies guards against ending more and more bodies, and against closing
// new connections, while the connections of bodies that were ended are about to close.
func TestNewConnectionWaitsForEndedBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s, unfinished := NewWithT(t), New(&http.Server{}), &bodies{one: true}
		s.SetLimit(Limit{Connections: 3, Bodies: unfinished})
		end, _ := net.Pipe()
		ended := &serverConn{Conn: end, server: s}
		g.Expect(s.admit(ended)).To(BeTrue())
		time.AfterFunc(maxEndingWait/2, func() { _ = ended.Close() })
		var admitted []bool
		for range 5 {
			c := &serverConn{Conn: end, server: s}
			admitted = append(admitted, s.admit(c))
			s.beginRequest(c)
		}
		g.Expect(admitted).To(Equal([]bool{true, true, true, true, false}))
		g.Expect(unfinished.ended).To(Equal([2]int{0, 2}))
	})
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
