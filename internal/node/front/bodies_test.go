package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/platform"
)

// configureBodies writes a document with the limits of the deployments and a route with a timeout of a minute.
func (r *harness) configureBodies() {
	r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"p","host":"h.example","pathPrefix":"/old/","kind":"unsafe","timeoutMs":60000,"service":"desk","attempts":1}],
"services":[{"name":"desk"}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}

// sendBody sends a request with a body in pieces, and returns the answer's status and how long it took.
func (r *harness) sendBody(id, framing string, pieces [][]byte, pause time.Duration) (status int, took time.Duration) {
	began := time.Now()
	conn, err := r.net.Dial(r.ctx, "front:1")
	r.g.Expect(err).NotTo(HaveOccurred())
	var group conc.WaitGroup
	defer group.Wait()
	defer conn.Close()
	group.Go(func() {
		// Errors of writing don't matter: the front may stop reading.
		_, _ = fmt.Fprintf(conn, "POST /old/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n%s\r\n\r\n", id, framing)
		for _, p := range pieces {
			if _, err := conn.Write(p); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	r.g.Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, time.Since(began)
}

// startLimited starts a front with limits of memory and descriptors.
func (r *harness) startLimited(memoryBytes int64, descriptors int) (*Front, func()) {
	return r.startWith(conf.Front{
		Node: conf.Node{Name: "front", Domain: "a"}, Listen: conf.FrontListen{Callers: "front:1", Ready: "front:2", Peers: "front:3"},
		ChecksFence: true, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58}, MemoryBytes: memoryBytes, FileDescriptors: descriptors,
		Bounds: conf.Bounds{Grace: grace, InForce: 2 * time.Second, Drain: 2 * time.Second, Lease: 3 * time.Second, Returning: 2 * time.Second, LoadWindow: 5 * time.Second, MinLease: time.Second, Contact: 3 * time.Second},
	})
}

// pieces returns n pieces of a size.
func pieces(n, size int) [][]byte {
	out := make([][]byte, n)
	for i := range out {
		out[i] = bytes.Repeat([]byte("x"), size)
	}
	return out
}

// TestSlowBodies guards against cutting off callers that are slow but within the document's limits
// while neither memory nor connections are short, and against bodies
// that hold a connection until their deadline although they have stopped.
func TestSlowBodies(t *testing.T) {
	for _, c := range []struct {
		name, framing string
		pieces        [][]byte
		pause         time.Duration
		status        int
		bytes         int64
		// least and most bound the time until the answer.
		least, most time.Duration
	}{
		{"20 bytes a second", "Content-Length: 1000", pieces(100, 10), 500 * time.Millisecond, 200, 1000, 45 * time.Second, 55 * time.Second},
		{"4 MB in 50 s", "Content-Length: 4194304", pieces(64, 64<<10), 780 * time.Millisecond, 200, 4 << 20, 45 * time.Second, 55 * time.Second},
		{"pauses of 14 s", "Content-Length: 3000", pieces(3, 1000), 14 * time.Second, 200, 3000, 28 * time.Second, 30 * time.Second},
		{"chunks", "Transfer-Encoding: chunked", [][]byte{[]byte("5\r\nhello\r\n"), []byte("6\r\n world\r\n"), []byte("0\r\n\r\n")}, time.Second, 200, 11, time.Second, 3 * time.Second},
		{"as large as allowed, in chunks", "Transfer-Encoding: chunked", [][]byte{[]byte("400000\r\n"), bytes.Repeat([]byte("x"), 4<<20), []byte("\r\n0\r\n\r\n")}, 0, 200, 4 << 20, 0, time.Second},
		{"stops", "Content-Length: 3000", pieces(2, 1000), 0, 408, 0, 15 * time.Second, 18 * time.Second},
		{"a byte in 10 s", "Content-Length: 6", pieces(6, 1), 10 * time.Second, 200, 6, 50 * time.Second, 51 * time.Second},
		{"a byte in 10 s until the deadline", "Content-Length: 3000", pieces(6, 1), 10 * time.Second, 408, 0, 59 * time.Second, 61 * time.Second},
		{"announced beyond the limit", "Content-Length: 4194305", nil, 0, 413, 0, 0, time.Second},
		{"beyond the limit in chunks", "Transfer-Encoding: chunked", [][]byte{[]byte("400001\r\n"), bytes.Repeat([]byte("x"), 4<<20+1), []byte("\r\n0\r\n\r\n")}, 0, 413, 0, 0, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(r *harness) {
				r.configureBodies()
				r.startServer("i-22", "desk")
				f, end := r.start("front")
				defer end()
				time.Sleep(2 * time.Second)
				status, took := r.sendBody("id-1", c.framing, c.pieces, c.pause)
				r.g.Expect(status).To(Equal(c.status))
				r.g.Expect(took).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
				runs := r.executions.Runs("id-1")
				if c.status == http.StatusOK {
					r.g.Expect(runs).To(HaveLen(1))
					r.g.Expect(runs[0].BodyBytes).To(Equal(c.bytes))
				} else {
					r.g.Expect(runs).To(BeEmpty())
				}
				time.Sleep(time.Second)
				r.g.Expect(f.reverseProxy.HeldMemory()).To(BeZero())
			})
		})
	}
}

// TestBodiesGiveWayWhenMemoryIsShort guards against unfinished bodies that keep others out: those
// that stopped end with 503, and a body within the limits and a small one are served.
func TestBodiesGiveWayWhenMemoryIsShort(t *testing.T) {
	withHarness(t, func(r *harness) {
		r.configureBodies()
		r.startServer("i-22", "desk")
		_, end := r.startLimited(32<<20, 0)
		defer end()
		time.Sleep(2 * time.Second)
		var crowd conc.WaitGroup
		defer crowd.Wait()
		statuses := make(chan int, 20)
		for i := range cap(statuses) {
			crowd.Go(func() {
				status, _ := r.sendBody(fmt.Sprintf("crowd-%d", i), "Content-Length: 1000000", pieces(1, 999_999), 0)
				statuses <- status
			})
		}
		time.Sleep(3 * time.Second)
		status, _ := r.sendBody("small", "Content-Length: 2000", pieces(1, 2000), 0)
		r.g.Expect(status).To(Equal(200))
		status, _ = r.sendBody("large", "Content-Length: 4000000", pieces(1, 4_000_000), 0)
		r.g.Expect(status).To(Equal(200))
		crowd.Wait()
		close(statuses)
		counts := map[int]int{}
		for s := range statuses {
			counts[s]++
		}
		r.g.Expect(counts[503]).To(BeNumerically(">=", 15), "%v", counts)
		r.g.Expect(counts[503]+counts[408]).To(Equal(cap(statuses)), "%v", counts)
	})
}

// TestBodiesGiveWayToConnections guards against bodies that arrive steadily without an end and keep all
// connections: the oldest ones end with 503, and ordinary requests on new connections are served.
func TestBodiesGiveWayToConnections(t *testing.T) {
	const descriptors = fileDescriptors + 2*minCallerConnections
	withHarness(t, func(r *harness) {
		r.configureBodies()
		r.startServer("i-22", "desk")
		_, end := r.startLimited(64<<20, descriptors)
		defer end()
		time.Sleep(2 * time.Second)
		var crowd conc.WaitGroup
		defer crowd.Wait()
		statuses := make([]int, callerConnections(conf.Front{FileDescriptors: descriptors}))
		for i := range statuses {
			crowd.Go(func() {
				statuses[i], _ = r.sendBody(fmt.Sprintf("crowd-%d", i), "Content-Length: 1000000", pieces(50, 2000), 200*time.Millisecond)
			})
			time.Sleep(10 * time.Millisecond)
		}
		status, _ := r.sendBody("ordinary", "Content-Length: 2000", pieces(1, 2000), 0)
		r.g.Expect(status).To(Equal(200))
		crowd.Wait()
		r.g.Expect([]int{statuses[0], statuses[1]}).To(Equal([]int{503, 408}), "only the oldest is ended, the others stop after 10 s")
	})
}

// TestCallerThatTakesNothingIsDropped guards against a caller that reads no byte of a stream and
// keeps its request, the front's memory and a connection to an instance without end.
func TestCallerThatTakesNothingIsDropped(t *testing.T) {
	withHarness(t, func(r *harness) {
		r.configure(1, "old")
		server := r.startServer("i-1", "llm", "m")
		f, end := r.start("front")
		defer end()
		time.Sleep(5 * time.Second)
		conn, err := r.net.Dial(r.ctx, "front:1")
		r.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nModel: m\r\nToken-Counts: 10,300\r\nContent-Length: 0\r\n\r\n")
		r.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(15*time.Second + 6*time.Second)
		n, err := conn.Read(make([]byte, 1))
		r.g.Expect(n).To(BeZero())
		r.g.Expect(err).To(MatchError(io.EOF))
		r.g.Expect(f.reverseProxy.HeldMemory()).To(BeZero())
		r.g.Expect(server.RunningRequests()).To(BeZero())
	})
}
