package proof

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt Attempt
		finding Finding
		basis   Basis
	}{
		{"not written", Attempt{}, NotRun, NothingWritten},
		{"written, no response", Attempt{Written: true}, MayHaveRun, NoResponse},
		{"response", Attempt{Written: true, Responded: true}, Answered, Response},
		{"response before all was written", Attempt{Responded: true}, Answered, Response},
		{"rejected", Attempt{Written: true, Responded: true, SaysNotRun: true}, NotRun, SaidNotRun},
		{"statement without a response", Attempt{Written: true, SaysNotRun: true}, MayHaveRun, NoResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			finding, basis := Judge(c.attempt)
			g.Expect(finding).To(Equal(c.finding))
			g.Expect(basis).To(Equal(c.basis))
		})
	}
}

func TestOnePossibleRunOutweighsAllRejections(t *testing.T) {
	g := NewWithT(t)
	rejected := Attempt{Written: true, Responded: true, SaysNotRun: true}
	r := Request{}.With(rejected).With(Attempt{Written: true}).With(rejected).With(Attempt{})
	g.Expect(r.IsNotRun()).To(BeFalse())
	g.Expect(r.PossibleRuns()).To(Equal(1))
	g.Expect(r.NotRunAttempts()).To(Equal(3))
	g.Expect(Request{}.Last()).To(Equal(NothingSent))
	g.Expect(Request{}.With(rejected).With(Attempt{}).IsNotRun()).To(BeTrue())
}
