package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
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
		tracker.recordSlowdown(slow.InstanceKey, 4, time.Now())
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
