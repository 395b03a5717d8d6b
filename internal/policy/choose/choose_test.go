package choose

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestBest(t *testing.T) {
	cases := []struct {
		name string
		list []Candidate
		want string
	}{
		{"nobody", nil, ""},
		{"own failure domain at equal load", []Candidate{{ID: "far", Slots: 8}, {ID: "near", Near: true, Slots: 8}}, "near"},
		{"one with a connection at equal load", []Candidate{{ID: "new", Near: true, Slots: 8}, {ID: "connected", Connected: true, Slots: 8}}, "connected"},
		{"an idle one far away before a full one nearby", []Candidate{{ID: "near", Near: true, Slots: 8, Reported: 9}, {ID: "far", Slots: 8}}, "far"},
		{"the one that has read the prompt's parts", []Candidate{{ID: "new", Near: true, Slots: 64, Missing: 237 * ms}, {ID: "read", Slots: 64, Missing: 74 * ms}}, "read"},
		{"another if that one has much to read first", []Candidate{{ID: "read", Slots: 64, Missing: 74 * ms, Reading: 789 * ms}, {ID: "new", Slots: 64, Missing: 237 * ms}}, "new"},
		{"a long prompt not beside streams that it would hold up", []Candidate{{ID: "streams", Near: true, Slots: 64, Reported: 12, Missing: 237 * ms, LongRead: 220 * ms}, {ID: "calm", Slots: 64, Reported: 1, Missing: 237 * ms, LongRead: 220 * ms}}, "calm"},
		{"a stream not beside a long prompt", []Candidate{{ID: "reads", Near: true, Slots: 64, Reported: 3, Missing: 8 * ms, Reading: 237 * ms, LongRead: 220 * ms}, {ID: "calm", Slots: 64, Reported: 12, Missing: 8 * ms, LongRead: 220 * ms}}, "calm"},
		{"a stream not where streams pause", []Candidate{{ID: "pauses", Near: true, Slots: 64, Missing: 8 * ms, LongRead: 220 * ms, PauseRisk: 1}, {ID: "calm", Slots: 64, Reported: 6, Missing: 8 * ms, LongRead: 220 * ms}}, "calm"},
		{"a long prompt not beside streams where they are known to pause, also if it must be read anew", []Candidate{{ID: "pauses", Near: true, Slots: 64, Reported: 2, Missing: 74 * ms, Reading: 158 * ms, LongRead: 220 * ms, PauseRisk: 1}, {ID: "calm", Slots: 64, Reported: 4, Missing: 237 * ms, LongRead: 220 * ms}}, "calm"},
		{"a very long prompt where few streams run, also if its parts were read elsewhere", []Candidate{{ID: "streams", Near: true, Slots: 64, Reported: 12, Missing: 500 * ms, LongRead: 220 * ms}, {ID: "calm", Slots: 64, Reported: 2, Missing: 690 * ms, LongRead: 220 * ms}}, "calm"},
		{"not the one that fails", []Candidate{{ID: "grey", Near: true, Slots: 8, Failing: 0.5}, {ID: "sound", Slots: 8, InFlight: 3}}, "sound"},
		{"not the slow one", []Candidate{{ID: "slow", Near: true, Slots: 8, Answers: 200 * time.Millisecond}, {ID: "quick", Slots: 8, Answers: 20 * time.Millisecond}}, "quick"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := ""
			if i := Best(c.list, func() float64 { return 0 }); i >= 0 {
				got = c.list[i].ID
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

func TestRisk(t *testing.T) {
	const allowed = 400 * time.Millisecond
	cases := []struct {
		name    string
		longest time.Duration
		allowed time.Duration
		want    float64
	}{
		{"nothing known", 0, allowed, 0},
		{"well below", 350 * time.Millisecond, allowed, 0},
		{"half-way", 380 * time.Millisecond, allowed, 0.5},
		{"over", 450 * time.Millisecond, allowed, 1},
		{"streams may pause", time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Risk(c.longest, c.allowed)).To(BeNumerically("~", c.want, 0.001))
		})
	}
}
