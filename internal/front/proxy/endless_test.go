package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// endlessServer answers each request with the start of an answer and then repeats bytes
// until the caller closes the connection.
type endlessServer struct {
	start, repeated string
	// written counts the bytes that callers have read, over all connections.
	written atomic.Int64
	// connections counts the open connections.
	connections atomic.Int64
}

func (s *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	s.connections.Add(1)
	defer s.connections.Add(-1)
	defer conn.Close()
	text := strings.ReplaceAll(s.start, "ID", r.Header.Get("Request-Id"))
	for {
		n, err := conn.Write([]byte(text))
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		text = s.repeated
	}
}

// TestBytesWithoutEnd lets every server send bytes without end. Callers must get a failure
// soon, the connections must be closed, and no more may be read than a front can hold.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		requests = 8
		signed   = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: s\r\n"
		stream   = signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	block := strings.Repeat("x", 16<<10)
	// The bounds on bodies of 8 MB count neither heads nor the framing of chunks.
	const (
		headBytes    = int64(len(signed) + 64)
		framingBytes = int64(len("4000\r\n\r\n") * (8<<20/(16<<10) + 1))
	)
	cases := []struct {
		name, path, start, repeated string
		maxBytes                    int64
	}{
		{"status line", "/unsafe/x", "HTTP/1.1 200 ", block, 256 << 10},
		{"no answer at all", "/unsafe/x", block, block, 256 << 10},
		{"one header field", "/unsafe/x", signed + "X: ", block, 256 << 10},
		{"header fields", "/unsafe/x", signed, strings.Repeat("A: b\r\n", 1000), 256 << 10},
		{"interim answers", "/unsafe/x", "HTTP/1.1 100 Continue\r\n\r\n", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), 256 << 10},
		{"body of another request's answer", "/unsafe/x", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", block, 256 << 10},
		{"unsigned body", "/unsafe/x", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n", block, 256 << 10},
		{"unsigned error", "/unsafe/x", "HTTP/1.1 500 Oops\r\nRequest-Id: ID\r\n\r\n", block, 256 << 10},
		{"signed body", "/unsafe/x", signed + "\r\n", block, 8<<20 + headBytes},
		{"body in chunks", "/unsafe/x", signed + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n", 8<<20 + headBytes + framingBytes},
		{"event of a stream", "/stream/x", stream + "4\r\nid: \r\n", "4000\r\n" + block + "\r\n", 512 << 10},
		{"chunk size", "/stream/x", stream, "0", 512 << 10},
	}
	for _, c := range cases {
		for _, atOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at once: %t", c.name, atOnce), func(t *testing.T) {
				withProxy(t, 1, func(r *harness) {
					s := &endlessServer{start: c.start, repeated: c.repeated}
					for _, address := range []string{"10.0.0.1:80", "10.0.0.1:81"} {
						r.stopServer[address]()
						r.net.Serve(address, s)
					}
					began := time.Now()
					var group conc.WaitGroup
					for i := range requests {
						group.Go(func() {
							w, aborted := r.send(r.t.Context(), c.path, "id-"+string(rune('a'+i)))
							r.g.Expect(w.Code == http.StatusBadGateway || aborted).To(BeTrue(), "status %d", w.Code)
						})
						if !atOnce {
							group.Wait()
						}
					}
					group.Wait()
					r.g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
					r.g.Expect(s.written.Load()).To(BeNumerically("<=", requests*c.maxBytes))
					time.Sleep(time.Second)
					r.g.Expect(s.connections.Load()).To(BeZero(), "the connections are closed")
				})
			})
		}
	}
}

// TestSlowAndStalledStreams serves streams whose events come slowly, and streams that send a
// byte now and then but never a whole event. The slow ones are passed on to their end; the
// stalled ones end visibly at the deadline.
func TestSlowAndStalledStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	const event = "id: 1\ndata: x\n\n"
	cases := []struct {
		name        string
		every       time.Duration
		piece       string
		pieces      int
		isWhole     bool
		atMost      time.Duration
		eventsAfter int
	}{
		{"slow but sound", 600 * time.Millisecond, event, 6, true, 4 * time.Second, 6},
		{"a byte now and then", 200 * time.Millisecond, "d", 1000, false, 4500 * time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				r.stopServer["10.0.0.1:81"]()
				r.net.Serve("10.0.0.1:81", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					r.g.Expect(err).NotTo(HaveOccurred())
					defer conn.Close()
					text := strings.ReplaceAll(head, "ID", req.Header.Get("Request-Id"))
					for range c.pieces {
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						time.Sleep(c.every)
						text = fmt.Sprintf("%x\r\n%s\r\n", len(c.piece), c.piece)
					}
					_, _ = io.WriteString(conn, text+"0\r\n\r\n")
				}))
				began := time.Now()
				w, aborted := r.send(r.t.Context(), "/stream/x", "id-1")
				r.g.Expect(time.Since(began)).To(BeNumerically("<", c.atMost))
				r.g.Expect(strings.Count(w.Body.String(), event)).To(Equal(c.eventsAfter))
				r.g.Expect(!aborted && w.Code == http.StatusOK).To(Equal(c.isWhole))
				time.Sleep(2 * c.every) // The server notices the closed connection with its next write.
			})
		})
	}
}
