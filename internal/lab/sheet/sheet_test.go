package sheet

import (
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/lab/flows"
	"foxtailcroft/internal/lab/trial"
)

// byName returns the results of the compared policies.
func byName(d flows.Deployment, seeds []uint64) map[string]trial.Result {
	out := map[string]trial.Result{}
	for _, r := range Mean(d, seeds) {
		out[r.Policy] = r
	}
	return out
}

// fixed are the baselines that a deployment could choose; always loaded does not fit either.
var fixed = []string{"never kept", "fixed 1m", "fixed 10m", "fixed 60m"}

// TestTargets compares the learned policy with the users' targets on seeds that no tuning has used.
func TestTargets(t *testing.T) {
	seeds := VerdictSeeds()
	t.Logf("seeds %v", seeds)
	for _, d := range []flows.Deployment{flows.Kiraboshi(), flows.WarmHands()} {
		t.Run(d.Name, func(t *testing.T) {
			g := NewWithT(t)
			r := byName(d, seeds)
			own := r["learned"]
			g.Expect(own.Cost).To(BeNumerically("<=", 1.3*r["clairvoyant"].Cost))
			for _, name := range fixed {
				g.Expect(own.Cost).To(BeNumerically("<", r[name].Cost), name)
			}
			if d.Name == flows.Kiraboshi().Name {
				g.Expect(own.IdleHours).To(BeNumerically("<=", r["fixed 10m"].IdleHours/2))
				g.Expect(own.ColdP99).To(BeNumerically("<=", r["fixed 10m"].ColdP99*11/10))
				return
			}
			g.Expect(own.ColdShare()).To(BeNumerically("<=", r["fixed 10m"].ColdShare()/2))
		})
	}
}

// TestTrialsRepeat checks that a seed gives the same figures on every run.
func TestTrialsRepeat(t *testing.T) {
	g := NewWithT(t)
	w := flows.Generate(flows.WarmHands(), 3, 7)
	g.Expect(trial.Run(w, trial.NewLearned(20), Mishaps())).To(Equal(trial.Run(w, trial.NewLearned(20), Mishaps())))
}

// BenchmarkPolicies reports each policy's figures over the verdict's seeds.
func BenchmarkPolicies(b *testing.B) {
	for _, d := range []flows.Deployment{flows.Kiraboshi(), flows.WarmHands()} {
		results := Mean(d, VerdictSeeds())
		for _, r := range results {
			b.Run(d.Name+"/"+r.Policy, func(b *testing.B) {
				for b.Loop() {
					_ = r.ColdShare()
				}
				b.ReportMetric(r.Cost/results[len(results)-1].Cost, "cost/clairvoyant")
				b.ReportMetric(r.IdleHours, "idle-hours")
				b.ReportMetric(100*r.ColdShare(), "%cold")
				b.ReportMetric(r.ColdP99.Seconds(), "cold-p99-s")
			})
		}
	}
}
