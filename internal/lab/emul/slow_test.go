package emul

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unevenOptions returns a minute in which eight servers that hold all models are slow one after
// the other, seven seconds each.
func unevenOptions(seed uint64, fronts int) Options {
	o := Options{Servers: 8, Models: 8, ModelsPerServer: 8, AllLoaded: true, Duration: dayLength, LoadFactor: 1, Seed: seed, Fronts: fronts}
	for i := range o.Servers {
		from := time.Duration(i) * 7 * time.Second
		o.SlowTimes = append(o.SlowTimes, SlowTime{Server: i, From: from, Until: from + 7*time.Second, Factor: 4})
	}
	return o
}

// TestSlowdownFigureServesMoreInTime guards against a choice that goes on sending long prompts to a
// server that turned slow, and against one that avoids it after it recovered. It compares the choice
// without the fourth figure with that from answers only and that with inquiries before long prompts.
func TestSlowdownFigureServesMoreInTime(t *testing.T) {
	without := Knowledge{Parts: true, Work: true, Pauses: true}
	fromAnswers, asking := without, without
	fromAnswers.Slowdown, asking.Slowdown, asking.Inquiries = true, true, true
	cases := []struct {
		name   string
		fronts int
		knows  Knowledge
		// maxLate and maxPaused bound the first events after the goal and the streams with a long
		// pause, as shares of those without the figure.
		maxLate, maxPaused float64
	}{
		{"one front, figures of answers only", 1, fromAnswers, 1, 0.7},
		{"one front", 1, asking, 0.7, 0.4},
		{"six fronts", 6, asking, 0.7, 0.4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var before, after Result
			for seed := uint64(1); seed <= 6; seed++ {
				before = before.Plus(Simulate(unevenOptions(seed, c.fronts), without))
				after = after.Plus(Simulate(unevenOptions(seed, c.fronts), c.knows))
			}
			t.Logf("three figures %+v, four %+v", before, after)
			late := func(r Result) float64 { return float64(r.Slow + r.Held + r.Lost) }
			g.Expect(late(after)).To(BeNumerically("<=", c.maxLate*late(before)))
			g.Expect(float64(after.Paused)).To(BeNumerically("<", c.maxPaused*float64(before.Paused)))
		})
	}
}

// TestSlowServerGetsNoLongPromptsUntilItRecovers guards against a figure that acts too late: from
// one second after a server turned slow it gets few long prompts, and its usual share of them from
// two seconds after its recovery.
func TestSlowServerGetsNoLongPromptsUntilItRecovers(t *testing.T) {
	const slowFrom, slowUntil = 20 * time.Second, 40 * time.Second
	count := map[string]int{}
	for seed := uint64(1); seed <= 6; seed++ {
		requests, _ := simulate(Options{
			Servers: 8, Models: 8, ModelsPerServer: 8, AllLoaded: true, Duration: dayLength, LoadFactor: 1, Seed: seed, Fronts: 6, SlowTimes: []SlowTime{{Server: 0, From: slowFrom, Until: slowUntil, Factor: 4}},
		}, Knowledge{Parts: true, Work: true, Pauses: true, Slowdown: true, Inquiries: true})
		for _, q := range requests {
			if q.server == nil || q.server.id != "s00" || q.class.name != "parts list" {
				continue
			}
			switch {
			case q.sentAt < slowFrom:
				count["before"]++
			case q.sentAt > slowFrom+time.Second && q.sentAt < slowUntil:
				count["slow"]++
			case q.sentAt > slowUntil+2*time.Second:
				count["after"]++
			}
		}
	}
	g := NewWithT(t)
	t.Log(count)
	g.Expect(count["slow"]).To(BeNumerically("<", count["before"]/5))
	g.Expect(count["after"]).To(BeNumerically(">", count["before"]/2))
}
