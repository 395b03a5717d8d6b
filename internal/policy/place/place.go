package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a candidate for the placement of a slot.
type Endpoint struct {
	Name        string
	Domain      string
	MemoryBytes int64
	// ReservedBytes is the memory in bytes reserved by the slots already placed here.
	ReservedBytes int64
	// CheckpointTier is 2 if the checkpoint is in the endpoint's memory, 1 if on its disk, 0 if remote.
	CheckpointTier int
}

// Request describes the slot to place.
type Request struct {
	Model string
	Bytes int64
	// AllowedDomains lists the allowed failure domains; empty allows all.
	AllowedDomains []string
	// UsedDomains lists the failure domains of the model's other slots, and UsedEndpoints their endpoints.
	UsedDomains   []string
	UsedEndpoints []string
}

// localityGain is the share of an endpoint's memory that each level of CheckpointTier offsets in the load score.
const localityGain = 0.25

// Choose returns the best endpoint for one more slot, or false if none fits. It
// prefers the failure domain with the fewest slots of the model, then the lowest
// load score, and breaks ties by a hash of both names, so that added or removed
// endpoints move few slots.
func Choose(need Request, endpoints []Endpoint) (Endpoint, bool) {
	var fitting []Endpoint
	for _, e := range endpoints {
		if fits(need, e) {
			fitting = append(fitting, e)
		}
	}
	if len(fitting) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(fitting, func(a, b Endpoint) int {
		return cmp.Or(
			cmp.Compare(occurrences(need.UsedDomains, a.Domain), occurrences(need.UsedDomains, b.Domain)),
			cmp.Compare(loadScore(a), loadScore(b)),
			cmp.Compare(tieHash(need.Model, a.Name), tieHash(need.Model, b.Name)),
		)
	}), true
}

// fits reports whether an endpoint may hold the slot. Memory reserved by other
// slots doesn't rule an endpoint out; it only raises its load score.
func fits(need Request, e Endpoint) bool {
	allowed := len(need.AllowedDomains) == 0 || slices.Contains(need.AllowedDomains, e.Domain)
	return allowed && e.MemoryBytes >= need.Bytes && !slices.Contains(need.UsedEndpoints, e.Name)
}

// loadScore returns the reserved share of an endpoint's memory, lowered for a checkpoint in memory or on disk.
func loadScore(e Endpoint) float64 {
	return float64(e.ReservedBytes)/float64(e.MemoryBytes) - localityGain*float64(e.CheckpointTier)
}

func occurrences(list []string, s string) int {
	n := 0
	for _, x := range list {
		if x == s {
			n++
		}
	}
	return n
}

func tieHash(model, endpoint string) uint64 {
	return xxhash.Sum64String(model + "\x00" + endpoint)
}
