package retry

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestSharesTogetherStayInTheBudget checks on random first attempts and retries at
// several processes that all retries together are at most the slack plus the ratio
// times the first attempts.
func TestSharesTogetherStayInTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		const ratio, slack = 0.2, 58.0
		processes := rapid.IntRange(1, 30).Draw(rt, "processes")
		shares := make([]BudgetShare, processes)
		for i := range shares {
			shares[i] = NewBudgetShare(ratio, slack, processes)
		}
		firstAttempts, retries := 0, 0
		for _, send := range rapid.SliceOfN(rapid.IntRange(0, 3*processes-1), 0, 600).Draw(rt, "sends") {
			i := send % processes
			if send < processes {
				shares[i] = shares[i].Earned()
				firstAttempts++
				continue
			}
			var ok bool
			if shares[i], ok = shares[i].Spent(); ok {
				retries++
			}
		}
		g.Expect(float64(retries)).To(BeNumerically("<=", ratio*float64(firstAttempts)+slack))
	})
}
