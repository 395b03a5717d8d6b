package decay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPeakHalvesInOneHalfLife(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := Peak{}.Add(400*time.Millisecond, now)
	g.Expect(p.Add(300*time.Millisecond, now).Value(now)).To(Equal(400*time.Millisecond), "a smaller duration does not change the peak")
	later := now.Add(peakHalfLife)
	g.Expect(p.Value(later)).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(p.Add(300*time.Millisecond, later).Value(later)).To(Equal(300 * time.Millisecond))
	g.Expect(Peak{}.Value(now)).To(BeZero())
}
