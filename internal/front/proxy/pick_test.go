package proxy

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

// TestLongPromptsAreKeptFromShortOnes sends a mix of chats and long prompts for one model
// through several fronts that don't know each other's requests. No server may get both,
// unless those of one kind are much busier than the others.
func TestLongPromptsAreKeptFromShortOnes(t *testing.T) {
	const fronts, servers, requests, maxGap = 10, 6, 60, 600 * time.Millisecond
	chat := &site.RequestInfo{Target: site.Target{Model: "m"}, PromptTokens: 800}
	long := &site.RequestInfo{Target: site.Target{Model: "m"}, PromptTokens: 9000}
	connected := func(conns.Target) bool { return true }
	var list []site.Instance
	for i := range servers {
		list = append(list, site.Instance{InstanceKey: site.InstanceKey{ID: fmt.Sprintf("i-%d", i), Born: 1}, Domain: "a", ConcurrentRequests: 64})
	}
	cases := []struct {
		name      string
		longShare float64
		busy      int
		mixed     bool
	}{
		{"divided", 0.65, 0, false},
		{"not divided", 0, 0, true},
		{"divided, with servers of one kind far busier", 0.65, 400, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := map[string]map[int]bool{}
			for range fronts {
				tracker := newInstanceTracker()
				tracker.setLongShare(c.longShare)
				for i := range requests {
					r := chat
					if i%2 == 0 {
						r = long
					}
					chosen, ok := tracker.pickInstance(list, "a", r, maxGap, connected)
					g.Expect(ok).To(BeTrue())
					if got[chosen.ID] == nil {
						got[chosen.ID] = map[int]bool{}
					}
					got[chosen.ID][r.PromptTokens] = true
					if r == long {
						tracker.recordLoad(chosen.InstanceKey, c.busy, time.Now())
					}
				}
			}
			g.Expect(got).To(HaveLen(servers), "every server is used")
			mixed := false
			for _, lengths := range got {
				mixed = mixed || len(lengths) > 1
			}
			g.Expect(mixed).To(Equal(c.mixed))
		})
	}
}
