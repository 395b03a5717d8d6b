package fair

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// waiting are the urgencies of waiting requests by account.
type waiting = map[string][]float64

// TestWeightOfWaitingRequests guards against an account that gains room by sending many requests.
func TestWeightOfWaitingRequests(t *testing.T) {
	cases := []struct {
		name          string
		fewer, larger waiting
	}{
		{"fifteen requests of one account against one each of five", waiting{"hot": slices.Repeat([]float64{1}, 15)}, waiting{"a": {1}, "b": {1}, "c": {1}, "d": {1}, "e": {1}}},
		{"more requests of one account count more", waiting{"a": {1}}, waiting{"a": {1, 1}}},
		{"without accounts every request counts", waiting{"": slices.Repeat([]float64{1}, 7)}, waiting{"": slices.Repeat([]float64{1}, 8)}},
		{"a less urgent request of the same account adds weight", waiting{"a": {1}}, waiting{"a": {0.1, 1}}},
		{"a request whose deadline is before the end of the load has no weight", waiting{"": {Urgency(0, 0, 5*time.Second, 6*time.Second)}}, waiting{"": {Urgency(9, 0, 6*time.Second, 6*time.Second)}}},
		{"a more urgent request has a larger weight", waiting{"": {Urgency(3, 2, 0, 0)}}, waiting{"": {Urgency(2, 2, 0, 0)}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Weight(c.fewer)).To(BeNumerically("<", Weight(c.larger)))
		})
	}
	NewWithT(t).Expect(Weight(waiting{"": {1, 1, 1}})).To(Equal(3.0), "deployments without accounts are served as before")
}
