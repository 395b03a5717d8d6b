package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func loaded(name string, running int) Replica {
	return Replica{Endpoint: name, Loaded: true, Running: running, Capacity: 4, ServiceTime: time.Second}
}

func TestChoose(t *testing.T) {
	dormant := Replica{Endpoint: "dormant", Capacity: 4, ColdStart: 10 * time.Second}
	cases := []struct {
		name     string
		replicas []Replica
		prefix   uint64
		want     string
	}{
		{"no loaded replica: the first slot", []Replica{dormant, {Endpoint: "other"}}, 0, "dormant"},
		{"prefers a loaded replica to a dormant first slot", []Replica{dormant, loaded("a", 3)}, 0, "a"},
		{"prefers the less busy of two replicas", []Replica{loaded("a", 4), loaded("b", 1)}, 0, "b"},
		{"counts the entry's own requests since the report", []Replica{{Endpoint: "a", Loaded: true, SentSinceReport: 9, Capacity: 4}, loaded("b", 4)}, 0, "b"},
		{"skips an overloaded first replica whichever the prefix hashes to", []Replica{loaded("a", 9), loaded("b", 0)}, 1, "b"},
		{"skips an overloaded second replica whichever the prefix hashes to", []Replica{loaded("a", 0), loaded("b", 9)}, 1, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Choose(c.replicas, c.prefix, rand.New(rand.NewPCG(1, 1)))
			NewWithT(t).Expect(c.replicas[got].Endpoint).To(Equal(c.want))
		})
	}
}

// TestPrefixStaysOnOneReplica checks that requests with the same prefix go to one of
// several equally loaded replicas, and that different prefixes use all of them.
func TestPrefixStaysOnOneReplica(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	replicas := []Replica{loaded("a", 1), loaded("b", 1), loaded("c", 1)}
	seen := map[int]int{}
	for prefix := uint64(1); prefix <= 64; prefix++ {
		first := Choose(replicas, prefix*7919, rnd)
		for range 8 {
			g.Expect(Choose(replicas, prefix*7919, rnd)).To(Equal(first))
		}
		seen[first]++
	}
	g.Expect(seen).To(HaveLen(3))
}

func TestShouldForward(t *testing.T) {
	cases := []struct {
		name   string
		queued int
		cold   time.Duration
		want   bool
	}{
		{"keeps a request in a short queue", 8, 10 * time.Second, false},
		{"forwards a request if the queue takes longer than the next slot's cold start", 60, 10 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(ShouldForward(c.queued, 4, time.Second, c.cold)).To(Equal(c.want))
		})
	}
}
