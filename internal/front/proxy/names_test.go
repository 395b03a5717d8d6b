package proxy

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/link/peer"
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

// TestUsageReportsFitAMessage guards against reports that are too long to be sent because callers
// name many models, or long ones.
func TestUsageReportsFitAMessage(t *testing.T) {
	g := NewWithT(t)
	tracker := newInstanceTracker()
	for i := range 4 * maxReportedTargets {
		for _, target := range []site.Target{{Model: fmt.Sprintf("m-%d", i)}, {Model: strings.Repeat("m", 16<<10) + fmt.Sprint(i)}} {
			tracker.countRequest(target, maxPriority)
			_, ended := tracker.beginRequest(site.InstanceKey{ID: "i-1"}, &site.RequestInfo{Target: target}, false)
			defer ended()
		}
	}
	usage := tracker.takeUsage("f", false, func(site.InstanceKey) bool { return true })
	g.Expect(usage.Asked).To(HaveLen(maxReportedTargets))
	g.Expect(usage.Asked[0].Priority).To(Equal(float64(maxPriority)))
	g.Expect(usage.Uses).To(HaveLen(maxReportedTargets))
	data, err := json.Marshal(usage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", peer.MaxFrameBytes))
}
