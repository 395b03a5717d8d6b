package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReserveKeepsToTheLimitInAnyWindow draws limits and arrivals: in any four seconds at
// most the limit and one burst are sent, and under pressure nothing is left unused.
func TestReserveKeepsToTheLimitInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for seed := range uint64(100) {
		g, r := NewWithT(t), rand.New(rand.NewPCG(seed, 2))
		limit := 0.3 + 20*r.Float64()*r.Float64()
		pressure := 0.5 + 3*r.Float64()
		var s Schedule
		var sent []time.Time
		now := time.Unix(0, 0)
		arrivals := 0
		for now.Before(time.Unix(60, 0)) {
			now = now.Add(time.Duration(r.ExpFloat64() / limit / pressure * float64(time.Second)))
			arrivals++
			after, wait, ok := s.Reserve(now, limit, 2*time.Second)
			if s = after; ok {
				sent = append(sent, now.Add(wait))
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			g.Expect(float64(n)).To(BeNumerically("<=", limit*window.Seconds()+burst+1e-6), "seed %d, limit %f", seed, limit)
		}
		if pressure > 1.5 {
			g.Expect(float64(len(sent))).To(BeNumerically(">=", 0.9*60*limit-burst), "seed %d, limit %f", seed, limit)
		}
	}
}

func TestScheduleThatStartsAllowsNoBurst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	s := StartAt(now, 2)
	s, wait, ok := s.Reserve(now, 2, time.Second)
	g.Expect(wait).To(BeZero())
	g.Expect(ok).To(BeTrue())
	_, wait, ok = s.Reserve(now, 2, 400*time.Millisecond)
	g.Expect(wait).To(Equal(500 * time.Millisecond))
	g.Expect(ok).To(BeFalse())
}

func TestIssuerMovesFewInstances(t *testing.T) {
	g := NewWithT(t)
	var fronts []string
	for i := range 10 {
		fronts = append(fronts, fmt.Sprint("front-", i))
	}
	moved, count := 0, map[string]int{}
	for i := range 1000 {
		in := fmt.Sprint("i-", i)
		before := Issuer(in, fronts)
		count[before]++
		if after := Issuer(in, fronts[1:]); after != before {
			moved++
			g.Expect(before).To(Equal("front-0"))
		}
	}
	g.Expect(moved).To(Equal(count["front-0"]))
	for _, n := range count {
		g.Expect(n).To(BeNumerically("~", 100, 40))
	}
	g.Expect(Issuer("i-1", nil)).To(BeEmpty())
}
