package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/test/resets"
)

// scriptedServer reads a request and then writes the next scripted bytes.
type scriptedServer struct {
	group conc.WaitGroup
	dials int
	// answers holds the bytes written for each request on a connection; after the last one the connection is closed.
	answers []string
	// refuse fails every dial.
	refuse bool
}

func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	if s.refuse {
		return nil, errors.New("connection refused")
	}
	s.dials++
	near, far := net.Pipe()
	s.group.Go(func() {
		defer far.Close()
		buf := make([]byte, 64<<10)
		for _, a := range s.answers {
			if _, err := far.Read(buf); err != nil {
				return
			}
			if _, err := io.WriteString(far, a); err != nil {
				return
			}
		}
	})
	return near, nil
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/p/x?q=1", Host: "h.example", Header: http.Header{"Request-Id": {id}}, Body: []byte("body"),
		IsOwn: func(h http.Header) bool { return h.Get("Request-Id") == id },
	}
}

func answer(id, more, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + more + "\r\n" + body
}

func TestOnlyWholeOwnResponsesKeepTheConnection(t *testing.T) {
	own := answer("a", "Content-Length: 4\r\n", "mine")
	cases := []struct {
		name   string
		answer string
		body   string
		// failed expects that no response is accepted, cut that the body ends early.
		failed, cut bool
		reusable    bool
	}{
		{"plain", own, "mine", false, false, true},
		{"chunked", answer("a", "Transfer-Encoding: chunked\r\n", "4\r\nmine\r\n0\r\n\r\n"), "mine", false, false, true},
		{"no length, so the body ends with the connection", answer("a", "", "mine"), "mine", false, false, false},
		{"server asks to close", answer("a", "Connection: close\r\nContent-Length: 4\r\n", "mine"), "mine", false, false, false},
		{"body shorter than its length", answer("a", "Content-Length: 9\r\n", "mine"), "mine", false, true, false},
		{"body truncated inside a chunk", answer("a", "Transfer-Encoding: chunked\r\n", "9\r\nmine"), "mine", false, true, false},
		{"last chunk missing", answer("a", "Transfer-Encoding: chunked\r\n", "4\r\nmine\r\n"), "mine", false, true, false},
		{"late response to another request is skipped", answer("z", "Content-Length: 5\r\n", "other") + own, "mine", false, false, true},
		{"only a response to another request", answer("z", "Content-Length: 5\r\n", "other"), "", true, false, false},
		{"a second response follows", own + own, "mine", false, false, false},
		{"informational response is skipped", "HTTP/1.1 100 Continue\r\n\r\n" + own, "mine", false, false, true},
		{"response is not HTTP", "\x00\x01garbage\r\n\r\n", "", true, false, false},
		{"nothing", "", "", true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &scriptedServer{answers: []string{c.answer}}
				p, closePool := New(s.dial, metrics.NewSet())
				res, err := p.Do(t.Context(), Target{}, request("a"))
				if c.failed {
					var f *Failure
					g.Expect(errors.As(err, &f)).To(BeTrue())
					g.Expect(f.Sent).To(BeTrue(), "a written request may have run")
				} else {
					g.Expect(err).NotTo(HaveOccurred())
					data, err := io.ReadAll(res.Body)
					g.Expect(err != nil).To(Equal(c.cut))
					g.Expect(string(data)).To(Equal(c.body))
					res.Finish(err == nil)
					g.Expect(len(p.idle[Target{}]) > 0).To(Equal(c.reusable))
				}
				closePool()
				s.group.Wait()
			})
		})
	}
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	g := NewWithT(t)
	p, closePool := New((&scriptedServer{refuse: true}).dial, metrics.NewSet())
	defer closePool()
	_, err := p.Do(t.Context(), Target{}, request("a"))
	var f *Failure
	g.Expect(errors.As(err, &f)).To(BeTrue())
	g.Expect(f.Sent).To(BeFalse())
}

// TestConnectionsAreReusedWhileTheServerKeepsThem checks that reuse follows the server's Keep-Alive timeout less idleMargin.
func TestConnectionsAreReusedWhileTheServerKeepsThem(t *testing.T) {
	cases := []struct {
		name      string
		keepAlive string
		wait      time.Duration
		dials     int
	}{
		{"reused immediately", "", 0, 1},
		{"within the stated timeout", "Keep-Alive: timeout=10\r\n", 9 * time.Second, 1},
		{"within idleMargin of the stated timeout", "Keep-Alive: timeout=10\r\n", 9700 * time.Millisecond, 2},
		{"stated timeout shorter than idleMargin", "Keep-Alive: timeout=0\r\n", 10 * time.Millisecond, 2},
		{"no timeout stated, past defaultReuseTime", "", 3 * time.Second, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := answer("a", c.keepAlive+"Content-Length: 4\r\n", "mine")
				s := &scriptedServer{answers: []string{a, a}}
				p, closePool := New(s.dial, metrics.NewSet())
				for range 2 {
					res, err := p.Do(t.Context(), Target{}, request("a"))
					g.Expect(err).NotTo(HaveOccurred())
					res.Discard()
					time.Sleep(c.wait)
				}
				g.Expect(s.dials).To(Equal(c.dials))
				closePool()
				s.group.Wait()
			})
		})
	}
}

// TestConnectionsAreBounded guards against idle connections that leave no descriptors for new ones, and
// against a count of open connections that drifts.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedServer{answers: []string{answer("a", "Content-Length: 4\r\n", "mine"), ""}}
		dialErrs := []error{nil, nil, nil, syscall.EMFILE, nil}
		p, closePool := New(func(ctx context.Context, address string) (net.Conn, error) {
			err := dialErrs[0]
			if dialErrs = dialErrs[1:]; err != nil {
				return nil, err
			}
			return s.dial(ctx, address)
		}, metrics.NewSet())
		p.SetLimit(2)
		do := func(address string) (*Response, error) {
			return p.Do(t.Context(), Target{Address: address}, request("a"))
		}
		x, errX := do("x")
		y, errY := do("y")
		_, errU := do("u")
		g.Expect([]bool{errX == nil, errY == nil, IsOwnShortage(errU)}).To(Equal([]bool{true, true, true}))
		x.Discard()
		y.Discard()
		u, errU := do("u")
		g.Expect(errU).NotTo(HaveOccurred())
		g.Expect(p.HasIdle(Target{Address: "y"})).To(BeTrue(), "only the longest idle one gives way")
		u.Finish(false)
		v, errV := do("v")
		g.Expect(errV).NotTo(HaveOccurred(), "the other one gives way to a dial without a descriptor")
		g.Expect(p.open.Load()).To(BeEquivalentTo(1))
		v.Finish(false)
		g.Expect(p.open.Load()).To(BeZero())
		g.Expect(p.byAge.Len()).To(BeZero())
		closePool()
		s.group.Wait()
	})
}

func TestContextCancellationClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedServer{answers: []string{answer("a", "Content-Length: 400\r\n", "mine"), ""}}
		p, closePool := New(s.dial, metrics.NewSet())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		res, err := p.Do(ctx, Target{}, request("a"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(res.Body)
		g.Expect(err).To(HaveOccurred())
		res.Finish(false)
		closePool()
		s.group.Wait()
	})
}

func TestEncodedRequestKeepsURIAndBody(t *testing.T) {
	g := NewWithT(t)
	text := string(request("a").encode())
	g.Expect(text).To(HavePrefix("POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"))
	g.Expect(text).To(HaveSuffix("\r\n\r\nbody"))
	get := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	g.Expect(string(get.encode())).To(Equal("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
}

// TestSplitBodyIsWrittenWhole guards against long bodies whose parts are lost, repeated or written out of order.
func TestSplitBodyIsWrittenWhole(t *testing.T) {
	g := NewWithT(t)
	r := request("a")
	r.MoreBody = [][]byte{[]byte(" and"), []byte(" more")}
	near, far := net.Pipe()
	var group conc.WaitGroup
	var text []byte
	group.Go(func() { text, _ = io.ReadAll(far) })
	for range 2 {
		n, err := newConn(near, 1).writeRequest(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", len("body and more")))
	}
	g.Expect(near.Close()).To(Succeed())
	group.Wait()
	g.Expect(strings.Count(string(text), "\r\nContent-Length: 13\r\n")).To(Equal(2))
	g.Expect(strings.Count(string(text), "\r\n\r\nbody and more")).To(Equal(2))
}

// FuzzAnswer checks that, whatever bytes a server writes, an accepted response belongs to the request.
func FuzzAnswer(f *testing.F) {
	f.Add(answer("a", "Content-Length: 4\r\n", "mine"))
	f.Add(answer("z", "Content-Length: 4\r\n", "mine") + answer("a", "", ""))
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		c := newConn(&fakeConn{Reader: strings.NewReader(text)}, 1)
		res, err := c.readOwnResponse(request("a"))
		if err != nil {
			return
		}
		if res.Header.Get("Request-Id") != "a" || res.StatusCode < 200 {
			t.Fatalf("answer %v", res)
		}
		// Whatever the body is, reading it ends without a panic.
		_, _ = io.Copy(io.Discard, res.Body)
	})
}

// fakeConn reads from memory.
type fakeConn struct {
	net.Conn
	io.Reader
}

func (f *fakeConn) Read(p []byte) (int, error) { return f.Reader.Read(p) }

// repeatedText returns a text again and again, once with each Read.
type repeatedText string

func (r repeatedText) Read(p []byte) (int, error) { return copy(p, r), nil }

// BenchmarkReadAnswer reads a usual answer with its body.
func BenchmarkReadAnswer(b *testing.B) {
	text := answer("a", "Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\nContent-Type: application/json\r\nContent-Length: 400\r\n", strings.Repeat("x", 400))
	c := newConn(&fakeConn{Reader: repeatedText(text)}, 1)
	r := request("a")
	b.ReportAllocs()
	for b.Loop() {
		res, err := c.readOwnResponse(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// TestEarlyAnswerLeavesNoUploadBehind guards against a connection that is used again while a server that answers
// before it reads still waits for the rest of a body.
func TestEarlyAnswerLeavesNoUploadBehind(t *testing.T) {
	g := NewWithT(t)
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer lis.Close()
	var group conc.WaitGroup
	var bodies []int64
	group.Go(func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer("a", "Content-Length: 4\r\n", "mine")); err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, r.Body)
			bodies = append(bodies, n)
		}
	})
	p, closePool := New(DialTCP, metrics.NewSet())
	r := request("a")
	r.Body = make([]byte, resets.UploadBytes)
	for range 3 {
		res, err := p.Do(t.Context(), Target{Address: lis.Addr().String()}, r)
		g.Expect(err).NotTo(HaveOccurred())
		res.Discard()
	}
	closePool()
	group.Wait()
	g.Expect(bodies).To(Equal([]int64{resets.UploadBytes, resets.UploadBytes, resets.UploadBytes}), "one connection, whole bodies")
}
