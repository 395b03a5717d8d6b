package score

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestBest(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{"nobody", nil, ""},
		{"prefers its own failure domain at equal load", []Candidate{{ID: "far", Slots: 8}, {ID: "near", SameDomain: true, Slots: 8}}, "near"},
		{"prefers an open connection at equal load", []Candidate{{ID: "new", SameDomain: true, Slots: 8}, {ID: "connected", Connected: true, Slots: 8}}, "connected"},
		{"prefers an idle instance in another domain to a full one in its own", []Candidate{{ID: "near", SameDomain: true, Slots: 8, Reported: 9}, {ID: "far", Slots: 8}}, "far"},
		{"prefers the instance with more of the prompt cached", []Candidate{{ID: "new", SameDomain: true, Slots: 64, MissingPrefill: 237 * ms}, {ID: "read", Slots: 64, MissingPrefill: 74 * ms}}, "read"},
		{"avoids the instance with the cached prompt if other prefills are queued there", []Candidate{{ID: "read", Slots: 64, MissingPrefill: 74 * ms, PendingPrefill: 789 * ms}, {ID: "new", Slots: 64, MissingPrefill: 237 * ms}}, "new"},
		{"keeps a long prompt away from streams that it would delay", []Candidate{{ID: "streams", SameDomain: true, Slots: 64, Reported: 12, MissingPrefill: 237 * ms, LongPrefill: 220 * ms}, {ID: "calm", Slots: 64, Reported: 1, MissingPrefill: 237 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"keeps a stream away from a long prompt", []Candidate{{ID: "reads", SameDomain: true, Slots: 64, Reported: 3, MissingPrefill: 8 * ms, PendingPrefill: 237 * ms, LongPrefill: 220 * ms}, {ID: "calm", Slots: 64, Reported: 12, MissingPrefill: 8 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"keeps a stream away from an instance where streams pause", []Candidate{{ID: "pauses", SameDomain: true, Slots: 64, MissingPrefill: 8 * ms, LongPrefill: 220 * ms, PauseRisk: 1}, {ID: "calm", Slots: 64, Reported: 6, MissingPrefill: 8 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"keeps a long prompt away from streams known to pause, even if the whole prompt must be read again", []Candidate{{ID: "pauses", SameDomain: true, Slots: 64, Reported: 2, MissingPrefill: 74 * ms, PendingPrefill: 158 * ms, LongPrefill: 220 * ms, PauseRisk: 1}, {ID: "calm", Slots: 64, Reported: 4, MissingPrefill: 237 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"sends a very long prompt where few streams run, even if another instance has part of it cached", []Candidate{{ID: "streams", SameDomain: true, Slots: 64, Reported: 12, MissingPrefill: 500 * ms, LongPrefill: 220 * ms}, {ID: "calm", Slots: 64, Reported: 2, MissingPrefill: 690 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"takes a prompt that is probably cached, if its prefill makes no streams pause", []Candidate{{ID: "new", Slots: 64, Reported: 1, MissingPrefill: 200 * ms, LongPrefill: 220 * ms}, {ID: "cached", Slots: 64, Reported: 1, MissingPrefill: 60 * ms, Prefills: []Prefill{{0.2, 200 * ms}, {0.8, 25 * ms}}, LongPrefill: 220 * ms}}, "cached"},
		{"avoids streams where the prompt may have been evicted", []Candidate{{ID: "streams", Slots: 64, Reported: 30, MissingPrefill: 190 * ms, Prefills: []Prefill{{0.5, 360 * ms}, {0.5, 20 * ms}}, LongPrefill: 220 * ms}, {ID: "calm", Slots: 64, Reported: 30, MissingPrefill: 215 * ms, LongPrefill: 220 * ms}}, "calm"},
		{"avoids a failing instance", []Candidate{{ID: "grey", SameDomain: true, Slots: 8, FailureShare: 0.5}, {ID: "sound", Slots: 8, InFlight: 3}}, "sound"},
		{"avoids a slow instance", []Candidate{{ID: "slow", SameDomain: true, Slots: 8, TimeToAnswer: 200 * time.Millisecond}, {ID: "quick", Slots: 8, TimeToAnswer: 20 * time.Millisecond}}, "quick"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := ""
			if i := Best(c.candidates, func() float64 { return 0 }); i >= 0 {
				got = c.candidates[i].ID
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

func TestPauseRisk(t *testing.T) {
	const allowed = 400 * time.Millisecond
	cases := []struct {
		name    string
		longest time.Duration
		allowed time.Duration
		want    float64
	}{
		{"no known pause", 0, allowed, 0},
		{"well below the allowed pause", 350 * time.Millisecond, allowed, 0},
		{"half-way", 380 * time.Millisecond, allowed, 0.5},
		{"over", 450 * time.Millisecond, allowed, 1},
		{"any pause is allowed", time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(PauseRisk(c.longest, c.allowed)).To(BeNumerically("~", c.want, 0.001))
		})
	}
}
