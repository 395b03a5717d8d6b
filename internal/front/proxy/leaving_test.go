package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

// TestServerThatSaysItLeavesGetsNoMoreRequests lets a server state in its first answer that it
// leaves, while the store still shows it as ready beside another one.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, c := range []struct {
		name, path, server string
		index              int
		faults             fake.Faults
	}{
		{"in an answer", "/unsafe/x", "plain-1", 0, fake.Faults{SaysLeaving: true}},
		{"in a stream", "/stream/x", "llm-1", 1, fake.Faults{SaysLeaving: true}},
		{"in a failure", "/safe/x", "plain-1", 0, fake.Faults{SaysLeaving: true, FailedResponses: 1}},
		{"in a rejection", "/unsafe/x", "plain-1", 0, fake.Faults{SaysLeaving: true, RejectedAsFull: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 1, func(r *harness) {
				r.servers[c.index].SetFaults(c.faults)
				r.send(r.t.Context(), c.path, "first")
				r.addServer("plain", 1)
				r.addServer("llm", 1)
				for n := range 20 {
					id := fmt.Sprint("id-", n)
					w, _ := r.send(r.t.Context(), c.path, id)
					r.g.Expect(w.Code).To(Equal(http.StatusOK))
					runs := r.executions.Runs(id)
					r.g.Expect(runs).To(HaveLen(1))
					r.g.Expect(runs[0].Server).NotTo(Equal(c.server))
				}
			})
		})
	}
}

// TestInstanceReplacedByAnotherGetsNoMoreRequests lets another instance answer at a known address.
func TestInstanceReplacedByAnotherGetsNoMoreRequests(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		// The first server is nearer, so that requests choose it.
		r.proxy.settings.Node.Domain = "a"
		other := r.state.Instances["plain-2"]
		other.Domain = "b"
		r.state.Instances["plain-2"] = other
		r.stopServer["10.0.0.1:80"]()
		arrivals := 0
		r.net.Serve("10.0.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			arrivals++
			w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
			w.Header().Set("Instance-Id", "other-1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}))
		for i := range 20 {
			w, _ := r.send(r.t.Context(), "/unsafe/x", fmt.Sprint("id-", i))
			r.g.Expect(w.Code).To(Equal(http.StatusOK))
			time.Sleep(50 * time.Millisecond)
		}
		r.g.Expect(arrivals).To(Equal(1), "within %s", replacedInstanceExclusion)
		r.g.Expect(r.suspected).To(Equal([]string{"plain-1"}))
	})
}
