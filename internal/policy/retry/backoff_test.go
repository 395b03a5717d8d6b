package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStoreOutagePauses guards against pauses that are shorter than the interval, that outlast what leases
// and proofs allow, or that don't grow with the fronts.
func TestStoreOutagePauses(t *testing.T) {
	const ms, bound = time.Millisecond, 5 * time.Second
	for _, c := range []struct {
		name     string
		o        StoreOutage
		failures int
		fraction float64
		want     time.Duration
	}{
		{"first failure", StoreOutage{Fronts: 30, PeersAnswer: true}, 1, 1, 400 * ms},
		{"second, shortest", StoreOutage{Fronts: 30, PeersAnswer: true}, 2, 0, 400 * ms},
		{"second, longest", StoreOutage{Fronts: 30, PeersAnswer: true}, 2, 1, 800 * ms},
		{"many", StoreOutage{Fronts: 30, PeersAnswer: true}, 1 << 40, 1, maxNotifiedPause},
		{"many, few fronts", StoreOutage{Fronts: 6, PeersAnswer: true}, 100, 1, 2400 * ms},
		{"many, one front", StoreOutage{Fronts: 1}, 100, 1, 400 * ms},
		{"cut off from the others", StoreOutage{Fronts: 30}, 100, 1, maxPause},
		{"the store answers others", StoreOutage{Fronts: 30, PeersAnswer: true, PeersReach: true}, 100, 1, maxPause},
		{"proof held", StoreOutage{Fronts: 30, PeersAnswer: true, ProofBound: bound, HasProof: true}, 100, 1, bound / 3},
		{"proof lost", StoreOutage{Fronts: 30, PeersAnswer: true, ProofBound: bound}, 100, 1, bound},
		{"proof lost, cut off from the others", StoreOutage{Fronts: 30, ProofBound: 3 * time.Second}, 100, 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.o.Interval = 400 * ms
			NewWithT(t).Expect(c.o.Backoff().Delay(c.failures, c.fraction)).To(Equal(c.want))
		})
	}
}
