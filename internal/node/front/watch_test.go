package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// TestServersThatLeftGetNoRequestsAfterCutWatches removes servers without draining them, which
// serve on, while waiting watches of the fronts are cut in turn: a cut watch is no outage of the
// store, and no front may bring a server back that another one has learned is gone.
func TestServersThatLeftGetNoRequestsAfterCutWatches(t *testing.T) {
	const (
		drain = 2 * time.Second
		play  = 20 * time.Second
		// requestInterval is the time between two requests, and leaveInterval that between two servers that leave.
		requestInterval = 25 * time.Millisecond
		leaveInterval   = 4 * time.Second
	)
	for _, cutInterval := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(cutInterval.String(), func(t *testing.T) {
			withHarness(t, func(r *harness) {
				r.configure(1, "old")
				fronts := []string{"front-1", "front-2", "front-3"}
				for _, name := range fronts {
					_, end := r.start(name, "front-1:3", "front-2:3")
					defer end()
				}
				var servers []*fake.Server
				addServer := func() {
					servers = append(servers, r.startServer(fmt.Sprintf("i-%0*d", len(servers)+1, 0), "desk"))
				}
				addServer()
				addServer()
				time.Sleep(3 * time.Second)
				leftAt := map[string]time.Time{}
				began := time.Now()
				nextLeave, nextCut := began.Add(leaveInterval/2), began
				for n := 0; time.Since(began) < play; n++ {
					if !time.Now().Before(nextCut) {
						r.store.CutWatch()
						nextCut = nextCut.Add(cutInterval)
					}
					if !time.Now().Before(nextLeave) {
						leaving := servers[len(leftAt)]
						addServer()
						r.deleteKey(leaving.Key())
						leftAt[strings.TrimPrefix(leaving.Key(), platform.ServerPrefix)] = time.Now()
						nextLeave = nextLeave.Add(leaveInterval)
					}
					status, body, err := r.send(fronts[n%3], "/old/x", fmt.Sprintf("id-%d", n))
					r.g.Expect(err).NotTo(HaveOccurred())
					r.g.Expect(status).To(Equal(200), body)
					time.Sleep(requestInterval)
				}
				r.g.Expect(len(leftAt)).To(BeNumerically(">=", 4))
				late := 0
				for _, e := range r.executions.Executions() {
					if at, ok := leftAt[e.Server]; ok && e.At.After(at.Add(drain)) {
						late++
					}
				}
				r.g.Expect(late).To(BeZero(), "requests that reached servers later than %s after they had left", drain)
			})
		})
	}
}
