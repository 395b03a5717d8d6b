package fresh

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFromRead guards against answers that prove nothing: of a clock that can't be read, of a store
// without the document, and older than what the front knew before.
func TestFromRead(t *testing.T) {
	for _, c := range []struct {
		name            string
		sent            time.Duration
		known, answered int64
		want            Proof
	}{
		{"same document", 5, 3, 3, Proof{5, 3}},
		{"newer document", 5, 3, 4, Proof{5, 4}},
		{"answer older than what was known", 5, 3, 2, Proof{}},
		{"no document", 5, 0, 0, Proof{}},
		{"no clock", 0, 3, 3, Proof{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(FromRead(c.sent, c.known, c.answered)).To(Equal(c.want))
		})
	}
}

// TestAdmits guards against keys that are admitted at the bound, by a clock that has failed or without a proof.
func TestAdmits(t *testing.T) {
	const bound = 5 * time.Second
	for _, c := range []struct {
		name  string
		proof Proof
		now   time.Duration
		want  bool
	}{
		{"young", Proof{10 * time.Second, 1}, 15*time.Second - bound/500 - 1, true},
		{"as old as the bound but for the error of clocks", Proof{10 * time.Second, 1}, 15*time.Second - bound/500, false},
		{"from the future", Proof{10 * time.Second, 1}, 9 * time.Second, false},
		{"clock failed", Proof{time.Second, 1}, 0, false},
		{"none", Proof{}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(c.proof.Admits(c.now, bound)).To(Equal(c.want))
		})
	}
}

// TestAdopt guards against adopted proofs that are younger than the stated ones.
func TestAdopt(t *testing.T) {
	for _, c := range []struct {
		name       string
		asked, now time.Duration
		s          Statement
		want       Proof
	}{
		{"ages add up", 100, 130, Statement{40, 2}, Proof{60, 2}},
		{"renewed while the question waited", 100, 130, Statement{-20, 2}, Proof{120, 2}},
		{"from the future", 100, 130, Statement{-40, 2}, Proof{}},
		{"from before this machine started", 100, 130, Statement{100, 2}, Proof{}},
		{"without a document", 100, 130, Statement{40, 0}, Proof{}},
		{"no clock", 0, 130, Statement{-20, 2}, Proof{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Adopt(c.asked, c.now, c.s)).To(Equal(c.want))
		})
	}
}

// TestRenewal guards against reads that cost more than needed, and against fronts that don't ask others
// while the store is silent.
func TestRenewal(t *testing.T) {
	const bound = 5 * time.Second
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, c := range []struct {
		name      string
		s         Situation
		read, ask bool
	}{
		{"no proof", Situation{Now: at(9)}, true, false},
		{"young", Situation{Now: at(9), Proof: Proof{at(7.4), 1}}, false, false},
		{"young, store away", Situation{Now: at(9), Proof: Proof{at(7.4), 1}, StoreAway: true}, false, false},
		{"young for itself, but not for those who follow", Situation{Now: at(9), Proof: Proof{at(7.4), 1}, Followed: true}, true, false},
		{"old", Situation{Now: at(9), Proof: Proof{at(7.3), 1}}, true, false},
		{"old, read lately", Situation{Now: at(9), Proof: Proof{at(7.3), 1}, ReadSent: at(7.6)}, false, false},
		{"old, read before", Situation{Now: at(9), Proof: Proof{at(7.3), 1}, ReadSent: at(7.5)}, true, false},
		{"old, read not answered at once", Situation{Now: at(9), ReadSent: at(8.8), Reading: true}, false, false},
		{"old, read not answered for long", Situation{Now: at(9), ReadSent: at(8.7), Reading: true}, false, true},
		{"old, store away", Situation{Now: at(9), ReadSent: at(8.7), StoreAway: true}, false, true},
		{"old, store away, asked lately", Situation{Now: at(9), Proof: Proof{at(7), 1}, ReadSent: at(8.7), StoreAway: true, Asked: at(8.6)}, false, false},
		{"old, store away, asked before", Situation{Now: at(9), Proof: Proof{at(7), 1}, ReadSent: at(8.7), StoreAway: true, Asked: at(8.5)}, false, true},
		{"lost, store away, asked before", Situation{Now: at(9), Proof: Proof{at(4), 1}, ReadSent: at(8.7), StoreAway: true, Asked: at(8.5)}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			c.s.Bound = bound
			g.Expect(c.s.ShouldRead()).To(Equal(c.read))
			g.Expect(c.s.ShouldAsk()).To(Equal(c.ask))
			c.s.Bound = 0
			g.Expect(c.s.ShouldRead() || c.s.ShouldAsk()).To(BeFalse(), "without a bound")
		})
	}
}
