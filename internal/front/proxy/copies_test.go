package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// copyingServer rejects the first attempts of each request as not run. If a connection carries
// the same request again, it sends its last answer there a second time, and then serves the request.
type copyingServer struct {
	rejections int
	mu         sync.Mutex
	rejected   map[string]int
	runs       map[string]int
	// connections counts the connections.
	connections int
}

func (s *copyingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	var lastID, last string
	reader := bufio.NewReader(buffered)
	for {
		id := r.Header.Get("Request-Id")
		answer := s.answer(id)
		text := answer
		if id == lastID {
			text = last + answer
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		lastID, last = id, answer
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// answer runs or rejects a request.
func (s *copyingServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := fmt.Sprintf("Request-Id: %s\r\nContent-Length: 0\r\n", id)
	if s.rejected[id] < s.rejections {
		s.rejected[id]++
		return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + head + "\r\n"
	}
	s.runs[id]++
	return "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n" + head + "\r\n"
}

// TestCopyOfARejectionIsNotTakenForTheNextAttempt lets all servers reject an order at first and
// send the rejection once more when the order comes again on the same connection.
func TestCopyOfARejectionIsNotTakenForTheNextAttempt(t *testing.T) {
	const orders = 6 // Their repeats stay within the retry budget.
	for _, rejections := range []int{1, 2} {
		withProxy(t, 2, func(r *harness) {
			servers := map[string]*copyingServer{}
			for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
				servers[address] = &copyingServer{rejections: rejections, rejected: map[string]int{}, runs: map[string]int{}}
				r.stopServer[address]()
				r.net.Serve(address, servers[address])
			}
			for n := range orders {
				id := fmt.Sprint("order-", n)
				w, _ := r.send(r.t.Context(), "/unsafe/x", id)
				runs, connections := 0, 0
				for _, s := range servers {
					s.mu.Lock()
					runs += s.runs[id]
					connections += s.connections
					s.mu.Unlock()
				}
				r.g.Expect(w.Code).To(Equal(http.StatusOK), "order %d, %d rejections", n, rejections)
				r.g.Expect(runs).To(Equal(1), "order %d, %d rejections", n, rejections)
				r.g.Expect(connections).To(BeNumerically("<=", 2*(rejections+1)), "connections are reused for other orders")
			}
		})
	}
}
