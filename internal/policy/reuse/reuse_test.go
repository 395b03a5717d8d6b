package reuse

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const second = time.Second

func TestHeldProbability(t *testing.T) {
	full := Memory{TotalTokens: 100_000, UsedTokens: 100_000, AddedPerSecond: 2000}
	cases := []struct {
		name     string
		memory   Memory
		age      time.Duration
		from, to float64
	}{
		{"just used", full, 0, 1, 1},
		{"used well within the turnover", full, 10 * second, 0.9, 1},
		{"after one turnover", full, 35 * second, 0.49, 0.51},
		{"long after the turnover", full, 100 * second, 0, 0.02},
		{"memory that is not full evicts nothing", Memory{TotalTokens: 100_000, UsedTokens: 50_000, AddedPerSecond: 2000}, 100 * second, 1, 1},
		{"nothing is added", Memory{TotalTokens: 100_000, UsedTokens: 100_000}, 100 * second, 1, 1},
		{"nothing known", Memory{NewsAge: -1}, 20 * second, 0.99, 1},
		{"nothing known, long ago", Memory{NewsAge: -1}, 10 * time.Minute, 0, 0.01},
		{"size known but no news ever", Memory{TotalTokens: 100_000, NewsAge: -1}, 10 * time.Minute, 0, 0.01},
		{"stale news", Memory{TotalTokens: 100_000, UsedTokens: 50_000, AddedPerSecond: 2000, NewsAge: freshNews + 2*newsHalfLife}, time.Hour, 0.24, 0.26},
		{"stale news, used since", Memory{TotalTokens: 100_000, UsedTokens: 50_000, AddedPerSecond: 2000, NewsAge: freshNews + 2*newsHalfLife}, second, 1, 1},
		{"from the future", full, -time.Hour, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(c.memory.HeldProbability(c.age)).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)))
		})
	}
}

// TestOutcomes guards against savings from parts behind one that is not held, and from parts that
// are evicted before the prompt is read.
func TestOutcomes(t *testing.T) {
	full := Memory{TotalTokens: 100_000, UsedTokens: 100_000, AddedPerSecond: 2000}
	cases := []struct {
		name     string
		parts    []Part
		wait     time.Duration
		want     []int
		expected int
	}{
		{"no parts", nil, 0, []int{0}, 0},
		{"all held", []Part{{1000, 1000, 0}, {500, 500, 0}}, 0, []int{1500}, 1500},
		{"the first part is missing", []Part{{1000, 0, 0}, {500, 500, 0}}, 0, []int{0}, 0},
		{"a gap", []Part{{1000, 1000, 0}, {400, 0, 0}, {500, 500, 0}}, 0, []int{1000}, 1000},
		{"a part that is kept in part", []Part{{1000, 1000, 0}, {400, 300, 0}, {500, 500, 0}}, 0, []int{1300}, 1300},
		{"more kept than the request has", []Part{{1000, 1200, 0}}, 0, []int{1000}, 1000},
		{"a second part that may be evicted", []Part{{1000, 1000, 0}, {500, 500, 35 * second}}, 0, []int{1000, 1500}, 1250},
		{"a first part that may be evicted takes the second with it", []Part{{1000, 1000, 35 * second}, {500, 500, 0}}, 0, []int{0, 1500}, 750},
		{"evicted while the request waits", []Part{{1000, 1000, 0}}, 100 * second, []int{0}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := Outcomes(c.parts, full, c.wait)
			var saved []int
			sum := 0.0
			for _, o := range got {
				saved, sum = append(saved, o.SavedTokens), sum+o.Probability
			}
			g.Expect(saved).To(Equal(c.want))
			g.Expect(sum).To(BeNumerically("~", 1, 1e-9))
			g.Expect(Expected(got)).To(BeNumerically("~", c.expected, 20))
		})
	}
}
