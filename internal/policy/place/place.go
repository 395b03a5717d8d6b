package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a place where slots may lie.
type Endpoint struct {
	Name        string
	Domain      string
	MemoryBytes int64
	// Promised sums the memory of the slots that already lie here.
	Promised int64
	// Near is 2 if the checkpoint is in the endpoint's memory, 1 if on its disk, 0 if remote.
	Near int
}

// Need is what a slot asks of an endpoint.
type Need struct {
	Model string
	Bytes int64
	// Domains restricts the failure domains; empty allows all.
	Domains []string
	// Taken are the domains of the model's other slots, and Used their endpoints.
	Taken []string
	Used  []string
}

// nearGain is how much of an endpoint's memory load a near checkpoint outweighs, by level.
const nearGain = 0.25

// Choose returns the best endpoint for one more slot: a domain without a slot
// of the model first, then the least promised memory with near checkpoints
// counted in favour, and a hash of both names between equals, so that
// endpoints that come or go move few slots.
func Choose(need Need, endpoints []Endpoint) (Endpoint, bool) {
	var fit []Endpoint
	for _, e := range endpoints {
		if fits(need, e) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(fit, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(count(need.Taken, a.Domain), count(need.Taken, b.Domain)),
			cmp.Compare(weight(a), weight(b)),
			cmp.Compare(tie(need.Model, a.Name), tie(need.Model, b.Name)),
		)
	}), true
}

func fits(need Need, e Endpoint) bool {
	allowed := len(need.Domains) == 0 || slices.Contains(need.Domains, e.Domain)
	return allowed && e.MemoryBytes >= need.Bytes && !slices.Contains(need.Used, e.Name)
}

// weight returns the promised share of an endpoint's memory, lowered for near checkpoints.
func weight(e Endpoint) float64 {
	return float64(e.Promised)/float64(e.MemoryBytes) - nearGain*float64(e.Near)
}

func count(list []string, s string) int {
	n := 0
	for _, x := range list {
		if x == s {
			n++
		}
	}
	return n
}

func tie(model, endpoint string) uint64 {
	return xxhash.Sum64String(model + "\x00" + endpoint)
}
