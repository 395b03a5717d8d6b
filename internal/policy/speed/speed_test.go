package speed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPrefillConvergesToTheMedianSpeed simulates models of three speeds. A fifth of
// the times is shorter, as with cached prompt prefixes, and a quarter longer, as
// with concurrent prefills of other prompts.
func TestPrefillConvergesToTheMedianSpeed(t *testing.T) {
	cases := []struct {
		name        string
		tokensPerMs float64
	}{
		{"large", 23}, {"usual", 30}, {"small", 85},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			rnd := rand.New(rand.NewPCG(5, 5))
			var r Prefill
			for range 60 {
				tokens := 2000 + rnd.IntN(12000)
				took := float64(tokens) / c.tokensPerMs * (0.95 + 0.1*rnd.Float64())
				switch x := rnd.Float64(); {
				case x < 0.2:
					took *= 0.4
				case x < 0.45:
					took *= 1 + rnd.Float64()
				}
				r = r.Add(tokens, time.Duration(took*float64(time.Millisecond)))
			}
			got := 10000 / float64(r.Duration(10000).Milliseconds())
			g.Expect(got).To(BeNumerically("~", c.tokensPerMs, 0.15*c.tokensPerMs))
		})
	}
}

func TestIgnoresShortPromptsAndZeroTimes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Prefill{}.Add(100, time.Second)).To(Equal(Prefill{}))
	g.Expect(Prefill{}.Add(5000, 0)).To(Equal(Prefill{}))
}
