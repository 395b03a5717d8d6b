package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

// TestInstanceThatNamesATimeGetsNoRequestsUntilThen lets servers reject requests and name a time
// for which they want none: requests go to others, or are refused at once with that time.
func TestInstanceThatNamesATimeGetsNoRequestsUntilThen(t *testing.T) {
	const pause = 3 * time.Second
	for _, c := range []struct {
		name, path string
		// all servers reject, or one of two.
		all bool
	}{
		{"one of two, orders", "/unsafe/x", false},
		{"one of two, streams", "/stream/x", false},
		{"all, orders", "/unsafe/x", true},
		{"all, safe requests", "/safe/x", true},
		{"all, streams", "/stream/x", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				faults := fake.Faults{RejectedAsFull: 1, RetryAfter: pause}
				r.setFaults(faults)
				r.send(r.t.Context(), c.path, "first")
				rejectedAt := time.Now()
				if !c.all {
					r.addServer("plain", 1)
					r.addServer("llm", 1)
				}
				for n := 0; time.Since(rejectedAt) < pause-500*time.Millisecond; n++ {
					time.Sleep(100 * time.Millisecond)
					id := fmt.Sprint("id-", n)
					began := time.Now()
					w, _ := r.send(r.t.Context(), c.path, id)
					for _, run := range r.executions.Runs(id) {
						r.g.Expect(run.Server).To(HaveSuffix("-2"), "%s after %s", id, time.Since(rejectedAt))
					}
					if !c.all {
						r.g.Expect(w.Code).To(Equal(http.StatusOK))
						continue
					}
					r.g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
					r.g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond), "refused at once")
					wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					r.g.Expect(err).NotTo(HaveOccurred())
					if c.path != "/stream/x" {
						r.g.Expect(time.Now().Add(time.Duration(wait * float64(time.Second)))).To(BeTemporally(">=", rejectedAt.Add(pause-10*time.Millisecond)))
					}
				}
				time.Sleep(time.Until(rejectedAt.Add(pause)))
				w, _ := r.send(r.t.Context(), c.path, "after")
				r.g.Expect(w.Code).To(Equal(http.StatusOK))
			})
		})
	}
}
