package blame

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFailedTrialsGrowRarer bounds the instances that trials of a crashing part cost in a minute and in a day.
func TestFailedTrialsGrowRarer(t *testing.T) {
	g := NewWithT(t)
	trials := func(within time.Duration) int {
		n := 0
		for at := TrialDelay(0); at <= within; at += TrialDelay(n) {
			n++
		}
		return n
	}
	g.Expect(trials(10 * time.Second)).To(Equal(1))
	g.Expect(trials(time.Minute)).To(Equal(2))
	g.Expect(trials(24 * time.Hour)).To(BeNumerically("<", 150))
}
