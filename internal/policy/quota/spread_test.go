package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSpreadBurstAdmitsAsMuchInAWindow guards against limits that admit more in a window than they
// state, and against accounts that never get their burst again while they stay above their rate.
func TestSpreadBurstAdmitsAsMuchInAWindow(t *testing.T) {
	for _, l := range []Limit{{PerSecond: 39781, Burst: 143209}, {PerSecond: 29000, Burst: 68874}, {PerSecond: 10, Burst: 1}, {PerSecond: 7}} {
		g := NewWithT(t)
		const window = 8 * time.Second
		s := l.SpreadOver(window)
		g.Expect(s.PerSecond*window.Seconds() + s.Burst).To(BeNumerically("~", l.PerSecond*window.Seconds()+l.Burst, 1e-6))
		g.Expect(s.PerSecond).To(BeNumerically(">=", l.PerSecond))
		g.Expect(l.SpreadOver(0)).To(Equal(l))
	}
	NewWithT(t).Expect(Limit{Burst: 5}.SpreadOver(time.Second)).To(Equal(Limit{Burst: 5}), "no rate is no limit")
}
