package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/platform/fake"
)

// TestSlowServerIsAvoidedUntilItsFigureIsOld guards against long prompts to a server that reported
// to be slow, and against one that gets none for long after it recovered.
func TestSlowServerIsAvoidedUntilItsFigureIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slow := site.Instance{InstanceKey: site.InstanceKey{ID: "slow", Born: 1}, Domain: "a", ConcurrentRequests: 64}
		other := site.Instance{InstanceKey: site.InstanceKey{ID: "other", Born: 1}, Domain: "b", ConcurrentRequests: 64}
		r := &site.RequestInfo{Target: site.Target{Model: "m"}, PromptTokens: 6000}
		tracker := newInstanceTracker()
		pick := func() string {
			chosen, ok := tracker.pickInstance([]site.Instance{slow, other}, "a", r, 400*time.Millisecond, func(conns.Target) bool { return true })
			g.Expect(ok).To(BeTrue())
			return chosen.ID
		}
		g.Expect(pick()).To(Equal("slow"), "it is in the front's own failure domain")
		tracker.recordSlowdown(slow, 4, time.Now())
		tracker.recordPause(slow.InstanceKey, 440*time.Millisecond)
		g.Expect(pick()).To(Equal("other"))
		time.Sleep(time.Second)
		g.Expect(pick()).To(Equal("other"))
		time.Sleep(4 * time.Second)
		g.Expect(pick()).To(Equal("slow"), "a pause while it was slow tells nothing of its usual speed")
		usage := tracker.takeUsage("f", false, func(site.InstanceKey) bool { return true })
		g.Expect(usage.Pauses).To(HaveLen(1))
		g.Expect(usage.Pauses[0].Longest).To(Equal(440 * time.Millisecond))
		g.Expect(usage.Pauses[0].Usual).To(Equal(110 * time.Millisecond))
	})
}

// TestSlowAnswersDoNotChangeTheModelsSpeed guards against a prefill speed learned from a slow server.
func TestSlowAnswersDoNotChangeTheModelsSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &site.RequestInfo{Target: site.Target{Model: "m"}, PromptTokens: 9000}
		alike, slowed := newInstanceTracker(), newInstanceTracker()
		for range 40 {
			for tracker, slowdown := range map[*instanceTracker]float64{alike: 0, slowed: 3} {
				answered, ended := tracker.beginRequest(site.InstanceKey{ID: "i"}, r, false)
				time.Sleep(time.Duration(float64(250*time.Millisecond) * max(1, slowdown)))
				answered(slowdown)
				ended()
			}
		}
		g.Expect(slowed.prefillSpeeds["m"].Duration(9000)).To(Equal(alike.prefillSpeeds["m"].Duration(9000)))
	})
}

// TestLongPromptAsksForSlowdowns guards against long prompts to a server that turned slow since its
// last answer, against inquiries where servers report no slowdown or prompts are short, and against
// requests that wait for a server whose health page doesn't answer.
func TestLongPromptAsksForSlowdowns(t *testing.T) {
	cases := []struct {
		name string
		// first and then are the slowdowns in percent of the nearer server at its first answer and afterwards.
		first, then int
		tokens      string
		hangs       bool
		server      string
		inquiries   uint64
	}{
		{"turned slow", 100, 400, "9000,25", false, "llm-2", 2},
		{"as usual", 100, 100, "9000,25", false, "llm-1", 2},
		{"short prompt", 100, 400, "100,25", false, "llm-1", 0},
		{"no slowdowns reported", 0, 0, "9000,25", false, "llm-1", 0},
		{"health pages hang", 100, 100, "9000,25", true, "llm-1", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				r.proxy.settings.Node.Domain = "a"
				r.state.Document.Services["llm"].HealthPath = "/health"
				far := r.state.Instances["llm-2"]
				far.Domain = "b"
				r.state.Instances["llm-2"] = far
				r.setFaults(fake.Faults{SlowdownPercent: c.first})
				send := func(id, tokens string) {
					w, _ := r.serve(r.t.Context(), "/stream/x", id, http.Header{"Token-Counts": {tokens}})
					r.g.Expect(w.Code).To(Equal(http.StatusOK))
				}
				send("id-1", "10,25")
				r.setFaults(fake.Faults{SlowdownPercent: c.first, HangHealth: c.hangs})
				r.servers[1].SetFaults(fake.Faults{SlowdownPercent: c.then, HangHealth: c.hangs})
				time.Sleep(time.Second)
				began := time.Now()
				send("id-2", c.tokens)
				r.g.Expect(time.Since(began)).To(BeNumerically("<=", 5*20*time.Millisecond+inquiryTimeout))
				r.g.Expect(r.executions.Runs("id-2")).To(ConsistOf(HaveField("Server", c.server)))
				r.g.Expect(r.inquiries()).To(Equal(c.inquiries))
			})
		})
	}
}

// inquiries returns the number of inquiries about slowdowns.
func (r *harness) inquiries() uint64 {
	return r.proxy.meters.GetOrCreateCounter(`foxtailcroft_slowdown_inquiries_total{outcome="answered"}`).Get() +
		r.proxy.meters.GetOrCreateCounter(`foxtailcroft_slowdown_inquiries_total{outcome="failed"}`).Get()
}
