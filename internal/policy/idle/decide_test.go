package idle

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 200) }

func TestKeepAlive(t *testing.T) {
	cases := []struct {
		name string
		gaps []time.Duration
		want func(d time.Duration) bool
	}{
		{"no gaps observed: break-even time", nil, func(d time.Duration) bool { return d == 200*time.Second }},
		{"only short gaps: kept loaded for longer than the gaps", repeat(30, 20*time.Second), func(d time.Duration) bool { return d >= 20*time.Second }},
		{"only long gaps: unloaded soon", repeat(30, 5*time.Hour), func(d time.Duration) bool { return d <= 20*time.Second }},
		{"bounded by the policy's maximum", repeat(30, 150*time.Minute), func(d time.Duration) bool { return d <= 2*time.Hour }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g Gaps
			for _, gap := range c.gaps {
				g.Observe(gap)
			}
			d := KeepAlive(&g, Costs{ColdWait: 20 * time.Second, ColdStartPrice: 10, MaxKeepAlive: 2 * time.Hour})
			NewWithT(t).Expect(c.want(d)).To(BeTrue(), "kept loaded for %s", d)
		})
	}
}

func repeat(n int, d time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// TestBreakEvenCostsAtMostTwiceTheBest checks the competitive ratio of 2 of the ski-rental problem for any gap.
func TestBreakEvenCostsAtMostTwiceTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coldSeconds := rapid.Float64Range(1, 100).Draw(t, "cold")
		price := rapid.Float64Range(0.1, 500).Draw(t, "price")
		gapSeconds := rapid.Float64Range(0, 100_000).Draw(t, "gap")
		keepSeconds := BreakEven(Costs{ColdWait: time.Duration(coldSeconds * float64(time.Second)), ColdStartPrice: price, MaxKeepAlive: 1 << 62}).Seconds()
		cost := gapSeconds
		if gapSeconds > keepSeconds {
			cost = keepSeconds + price*coldSeconds
		}
		if optimum := min(gapSeconds, price*coldSeconds); cost > 2*optimum+0.001 {
			t.Fatalf("break-even costs %g, more than twice the optimum %g", cost, optimum)
		}
	})
}
