package evict

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an idle model or adapter that may be unloaded.
type Candidate struct {
	Name  string
	Bytes int64
	// ReuseProbability is the probability, 0 to 1, that it is requested within the caller's horizon.
	ReuseProbability float64
	// ColdStart is the expected time to load it again.
	ColdStart time.Duration
	// LastUsed breaks ties, the least recently used first.
	LastUsed time.Time
}

// CostPerGigabyte returns the expected cold-start seconds per gigabyte (2^30 bytes) freed by unloading the candidate.
func CostPerGigabyte(c Candidate) float64 {
	const gigabyte = 1 << 30
	return c.ReuseProbability * c.ColdStart.Seconds() / (float64(c.Bytes) / gigabyte)
}

// Choose returns the names of the cheapest candidates that together free the
// bytes, or nil if all of them free too little.
func Choose(candidates []Candidate, bytes int64) []string {
	byCost := slices.Clone(candidates)
	slices.SortFunc(byCost, func(a, b Candidate) int {
		if c := cmp.Compare(CostPerGigabyte(a), CostPerGigabyte(b)); c != 0 {
			return c
		}
		return a.LastUsed.Compare(b.LastUsed)
	})
	var chosen []Candidate
	var freed int64
	for _, c := range byCost {
		if freed >= bytes {
			break
		}
		chosen = append(chosen, c)
		freed += c.Bytes
	}
	if freed < bytes {
		return nil
	}
	return names(dropUnneeded(chosen, freed-bytes))
}

// dropUnneeded removes chosen candidates, the most expensive first, whose memory is within the surplus.
func dropUnneeded(chosen []Candidate, surplus int64) []Candidate {
	for i := len(chosen) - 1; i >= 0; i-- {
		if chosen[i].Bytes <= surplus {
			surplus -= chosen[i].Bytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

func names(list []Candidate) []string {
	var out []string
	for _, c := range list {
		out = append(out, c.Name)
	}
	return out
}
