package pace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLearnsWhatAStoreBears plays loads against stores that bear a number side by side.
func TestLearnsWhatAStoreBears(t *testing.T) {
	const full = 6 * time.Second
	for _, bears := range []int{1, 2, 4, 8} {
		g := NewWithT(t)
		var l Loads
		slow, loads := 0, 0
		for range 40 {
			beside := l.AtOnce()
			took := time.Duration(float64(full) * max(1, float64(beside)/float64(bears)))
			l = l.Ended(beside, took, full)
			loads++
			if took > full {
				slow++
			}
		}
		g.Expect(l.AtOnce()).To(BeNumerically("~", bears, 1))
		g.Expect(float64(slow)/float64(loads)).To(BeNumerically("<=", 0.2), "a store that bears %d", bears)
	}
}
