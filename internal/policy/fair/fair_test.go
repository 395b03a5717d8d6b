package fair

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestWeightOfWaitingRequests guards against an account that gains room by sending many requests.
func TestWeightOfWaitingRequests(t *testing.T) {
	cases := []struct {
		name          string
		fewer, larger map[string]int
	}{
		{"fifteen requests of one account against one each of five", map[string]int{"hot": 15}, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}},
		{"more requests of one account count more", map[string]int{"a": 1}, map[string]int{"a": 2}},
		{"without accounts every request counts", map[string]int{"": 7}, map[string]int{"": 8}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(Weight(c.fewer)).To(BeNumerically("<", Weight(c.larger)))
		})
	}
	NewWithT(t).Expect(Weight(map[string]int{"": 3})).To(Equal(3.0), "deployments without accounts are served as before")
}
