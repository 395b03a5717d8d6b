package stall

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailcroft/test/seeds"
)

// TestLearnsFactor draws streams at changing utilizations from servers with a known factor.
func TestLearnsFactor(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, seeds.FromEnvironment()))
	for _, factor := range []float64{0, 0.5, 1.6} {
		g := NewWithT(t)
		var e Estimate
		for range 300 {
			utilization, paused := 0.1+0.6*rnd.Float64(), 0
			const streams = 10
			for range streams {
				if rnd.Float64() < Share(factor, utilization) {
					paused++
				}
			}
			e = e.Observe(streams, paused, utilization)
		}
		g.Expect(e.Factor()).To(BeNumerically("~", factor, 0.15), "factor %g", factor)
		g.Expect(FromFactor(e.Factor()).Factor()).To(BeNumerically("~", e.Factor(), 0.001))
	}
}

func TestOddObservationsStayInBounds(t *testing.T) {
	g := NewWithT(t)
	var e Estimate
	for _, o := range []struct {
		streams, paused int
		utilization     float64
	}{{0, 5, 1}, {-1, 0, 1}, {5, 50, 0.06}, {5, 5, 0}, {1000000, 1000000, 0.1}, {1000, 0, 50}} {
		e = e.Observe(o.streams, o.paused, o.utilization)
		g.Expect(e.Factor()).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxFactor)))
	}
}
