package score

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCurrentSlowdownDecaysToTheUsualSpeed(t *testing.T) {
	cases := []struct {
		name     string
		reported float64
		age      time.Duration
		want     float64
	}{
		{"none reported", 0, 0, 0},
		{"just reported", 4, 0, 4},
		{"after one half-life", 4, slowdownHalfLife, 2.5},
		{"a server that was quicker than usual", 0.5, slowdownHalfLife, 0.75},
		{"after ten half-lives", 4, 10 * slowdownHalfLife, 1.003},
		{"from the future", 4, -time.Hour, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(CurrentSlowdown(c.reported, c.age)).To(BeNumerically("~", c.want, 0.001))
		})
	}
}

// TestUnknownSlowdownChangesNoCost guards against other choices where no server reports a slowdown.
func TestUnknownSlowdownChangesNoCost(t *testing.T) {
	g := NewWithT(t)
	for _, prefill := range []time.Duration{0, 8 * ms, 237*ms + 777*time.Microsecond, 690 * ms} {
		c := Candidate{Slots: 8, Reported: 9, MissingPrefill: prefill, PendingPrefill: 2 * prefill / 3, LongPrefill: 220 * ms, PauseRisk: 0.3, LimitWait: 13 * ms}
		usual := c
		usual.Slowdown = 1
		g.Expect(usual.CostMs()).To(Equal(c.CostMs()))
	}
	g.Expect(AtUsualSpeed(237*ms, 0)).To(Equal(237 * ms))
	g.Expect(AtUsualSpeed(400*ms, 4)).To(Equal(100 * ms))
}

func TestSlowdownInTheChoice(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"a long prompt goes to a server with the usual speed", []Candidate{{SameDomain: true, Connected: true, MissingPrefill: 200 * ms, Slowdown: 3}, {MissingPrefill: 300 * ms, Slowdown: 1}}, 1},
		{"a short prompt stays with a slow server that has its parts", []Candidate{{Connected: true, MissingPrefill: 20 * ms, Slowdown: 3}, {Connected: true, MissingPrefill: 100 * ms, Slowdown: 1}}, 0},
		{"prompts before it take longer too", []Candidate{{MissingPrefill: 10 * ms, PendingPrefill: 50 * ms, Slowdown: 4}, {MissingPrefill: 10 * ms, PendingPrefill: 150 * ms}}, 1},
		{"a prompt that is long at the current speed is kept from streams", []Candidate{{Reported: 12, MissingPrefill: 100 * ms, LongPrefill: 220 * ms, Slowdown: 2.5}, {Reported: 1, MissingPrefill: 290 * ms, LongPrefill: 220 * ms}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Best(c.candidates, func() float64 { return 0 })).To(Equal(c.want))
		})
	}
}

func TestInquiries(t *testing.T) {
	long := func(prefill time.Duration) Candidate { return Candidate{MissingPrefill: prefill} }
	cases := []struct {
		name       string
		candidates []Candidate
		want       []int
	}{
		{"no choice", []Candidate{long(200 * ms)}, nil},
		{"a short prompt", []Candidate{long(10 * ms), long(200 * ms)}, nil},
		{"the two best", []Candidate{long(300 * ms), long(100 * ms), long(200 * ms)}, []int{1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Inquiries(c.candidates)).To(Equal(c.want))
		})
	}
}
