package front

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform/fake"
)

// TestServerThatSaysItLeavesIsLeftByAllFronts lets a server state in its answers that it leaves,
// with its entry unchanged: the front that hears it first sends nothing more, and the others soon.
func TestServerThatSaysItLeavesIsLeftByAllFronts(t *testing.T) {
	withHarness(t, func(r *harness) {
		r.configure(1, "old")
		leaving := r.startServer("i-1", "desk")
		fronts := []string{"front-1", "front-2", "front-3"}
		for _, name := range fronts {
			_, end := r.start(name, "front-1:3", "front-2:3")
			defer end()
		}
		time.Sleep(3 * time.Second)
		leaving.SetFaults(fake.Faults{SaysLeaving: true})
		hears := func(front string) bool {
			id := fmt.Sprint(front, time.Now().UnixNano())
			status, _, err := r.send(front, "/old/x", id)
			r.g.Expect(err).NotTo(HaveOccurred())
			r.g.Expect(status).To(Equal(200))
			return r.executions.Runs(id)[0].Server == "i-1"
		}
		r.g.Expect(hears("front-1")).To(BeTrue(), "the only server")
		r.startServer("i-22", "desk")
		time.Sleep(time.Second)
		for range 50 {
			r.g.Expect(hears("front-1")).To(BeFalse())
		}
		// All fronts know within the time after which a leaving server gets no requests.
		time.Sleep(2 * time.Second)
		for range 50 {
			for _, front := range fronts {
				r.g.Expect(hears(front)).To(BeFalse(), front)
			}
		}
		leaving.Drain()
		time.Sleep(2 * time.Second)
		r.g.Expect(hears("front-2")).To(BeFalse())
	})
}
