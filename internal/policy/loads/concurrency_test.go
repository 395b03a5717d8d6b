package loads

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLearnsStoreCapacity simulates loads from stores that serve a given number of concurrent loads at full speed.
func TestLearnsStoreCapacity(t *testing.T) {
	const fullSpeedTime = 6 * time.Second
	for _, capacity := range []int{1, 2, 4, 8} {
		g := NewWithT(t)
		var l Concurrency
		slowLoads, loads := 0, 0
		for range 40 {
			concurrent := l.Limit()
			took := time.Duration(float64(fullSpeedTime) * max(1, float64(concurrent)/float64(capacity)))
			l = l.Observe(concurrent, took, fullSpeedTime)
			loads++
			if took > fullSpeedTime {
				slowLoads++
			}
		}
		g.Expect(l.Limit()).To(BeNumerically("~", capacity, 1))
		g.Expect(float64(slowLoads)/float64(loads)).To(BeNumerically("<=", 0.2), "share of slowed loads at a store that serves %d at full speed", capacity)
	}
}
