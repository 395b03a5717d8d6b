package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/platform/fake"
)

// drainResult is the end of a request that was sent while its front stopped.
type drainResult struct {
	sentAt   time.Duration
	status   int
	complete bool
}

// sendOn sends a request on an open connection and reads its answer; the last byte of the
// request follows after a pause.
func sendOn(conn net.Conn, path, id string, deadline, pause time.Duration, headers string) (status int, complete bool) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n%sContent-Length: 2\r\n\r\nx", path, id, deadline.Milliseconds(), headers)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, false
	}
	time.Sleep(pause)
	if _, err := io.WriteString(conn, "y"); err != nil {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err == nil
}

// TestRequestsLateInAStopAreNotCutOff sends requests on open connections throughout the grace
// period of a front that stops. Those that a server runs are answered completely, unless they
// came early and the server took until the end of the grace period.
func TestRequestsLateInAStopAreNotCutOff(t *testing.T) {
	const (
		// excusedUntil is the time after the stop until which a long request may be cut off at the end.
		excusedUntil = 3 * time.Second
		sendInterval = 150 * time.Millisecond
	)
	stream := "Model: m\r\nToken-Counts: 10,200\r\n"
	for _, c := range []struct {
		name     string
		path     string
		headers  string
		deadline time.Duration
		// answerTime is how long the server takes for an answer that is not streamed.
		answerTime time.Duration
		// openedBefore is how long before its request a connection is opened, at least.
		openedBefore time.Duration
		// bodyPause is the time until the last byte of the request.
		bodyPause time.Duration
		// served is the least number of requests that are answered with success.
		served int
	}{
		{"orders of two seconds", "/old/x", "", 14 * time.Second, 2 * time.Second, 0, 0, 15},
		{"short orders with a deadline", "/old/x", "", time.Second, 20 * time.Millisecond, 0, 0, 35},
		{"short orders without a deadline", "/old/x", "", 14 * time.Second, 20 * time.Millisecond, 0, 0, 15},
		{"streams of four seconds", "/stream/x", stream, 14 * time.Second, 0, 0, 0, 15},
		{"connections opened before the stop", "/old/x", "", 14 * time.Second, 2 * time.Second, 4 * time.Second, 0, 15},
		{"slow bodies", "/old/x", "", 14 * time.Second, 2 * time.Second, 0, 2500 * time.Millisecond, 0},
		{"slower bodies", "/old/x", "", 14 * time.Second, 2 * time.Second, 0, 3500 * time.Millisecond, 0},
		{"slow bodies of streams", "/stream/x", stream, 14 * time.Second, 0, 0, 2500 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(r *harness) {
				r.configure(1, "old")
				r.startServer("i-1", "llm", "m")
				r.startServer("i-22", "desk").SetFaults(fake.Faults{FirstByteDelay: c.answerTime})
				f, end := r.start("front")
				defer end()
				time.Sleep(5 * time.Second)
				var clients conc.WaitGroup
				results := make(chan drainResult, 100)
				stopAt := time.Now().Add(2 * time.Second)
				for n := range int(grace / sendInterval) {
					sendAt := stopAt.Add(time.Duration(n) * sendInterval)
					clients.Go(func() {
						// No connection is opened after the listener has closed.
						openAt := sendAt.Add(-c.openedBefore)
						if latest := stopAt.Add(unreadyNoticeTime - 100*time.Millisecond); openAt.After(latest) {
							openAt = latest
						}
						time.Sleep(time.Until(openAt))
						conn, err := r.net.Dial(r.ctx, "front:1")
						if err != nil {
							return
						}
						defer conn.Close()
						time.Sleep(time.Until(sendAt))
						id := fmt.Sprintf("late-%d", n)
						status, complete := sendOn(conn, c.path, id, c.deadline, c.bodyPause, c.headers)
						sentAt := time.Duration(n)*sendInterval + c.bodyPause
						isCut := len(r.executions.Runs(id)) > 0 && !complete
						r.g.Expect(isCut && sentAt > excusedUntil).To(BeFalse(), "request sent %s after the stop was cut off", sentAt)
						if status == http.StatusServiceUnavailable {
							r.g.Expect(r.executions.Runs(id)).To(BeEmpty(), "refused and run")
						}
						results <- drainResult{sentAt, status, complete}
					})
				}
				clients.Go(func() {
					// A long stream keeps the front busy throughout the grace period.
					time.Sleep(time.Until(stopAt.Add(300 * time.Millisecond)))
					conn, err := r.net.Dial(r.ctx, "front:1")
					r.g.Expect(err).NotTo(HaveOccurred())
					defer conn.Close()
					_, complete := sendOn(conn, "/stream/x", "long", 14*time.Second, 0, "Model: m\r\nToken-Counts: 10,300\r\n")
					r.g.Expect(complete).To(BeTrue())
				})
				time.Sleep(time.Until(stopAt))
				began := time.Now()
				f.Drain(r.ctx)
				r.g.Expect(time.Since(began)).To(BeNumerically("<", grace))
				end()
				clients.Wait()
				close(results)
				served, refused := 0, 0
				for res := range results {
					switch {
					case res.complete && res.status == http.StatusOK:
						served++
					case res.complete && res.status == http.StatusServiceUnavailable:
						refused++
					}
				}
				t.Logf("served %d, refused %d", served, refused)
				r.g.Expect(served).To(BeNumerically(">=", c.served))
			})
		})
	}
}
