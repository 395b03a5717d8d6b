package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
)

// TestNamesOfCallersDoNotAddUp guards against memory that grows with each new model or adapter that
// callers name: learned speeds and records of absent models were kept for good.
func TestNamesOfCallersDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tracker, key := newInstanceTracker(), site.InstanceKey{ID: "i-1", Born: 1}
		for i := range 4 * maxLearnedModels {
			r := &site.RequestInfo{Target: site.Target{Model: fmt.Sprintf("m-%d", i)}, PromptTokens: 9000}
			answered, ended := tracker.beginRequest(key, r, false)
			time.Sleep(50 * time.Millisecond)
			answered(0)
			ended()
			g.Expect(tracker.prefillSpeeds).To(HaveKey(r.Target.Model))
			tracker.recordAbsence(key, r.Target)
			g.Expect(tracker.unusable([]site.Instance{{InstanceKey: key}}, r.Target)).To(ConsistOf(key))
		}
		g.Expect(len(tracker.prefillSpeeds)).To(Equal(maxLearnedModels))
		g.Expect(len(tracker.stats[key].absentAt)).To(BeNumerically("<=", maxAbsentTargets))
	})
}
