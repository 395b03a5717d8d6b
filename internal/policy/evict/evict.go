package evict

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an idle item that may be unloaded.
type Candidate struct {
	Name  string
	Bytes int64
	// WantedSoon is the chance that it is wanted within the horizon.
	WantedSoon float64
	ColdStart  time.Duration
	// LastUsed breaks ties, longest unused first.
	LastUsed time.Time
}

// Cost returns the expected cold-start seconds for each gigabyte that unloading the candidate frees.
func Cost(c Candidate) float64 {
	const gigabyte = 1 << 30
	return c.WantedSoon * c.ColdStart.Seconds() / (float64(c.Bytes) / gigabyte)
}

// Choose returns the cheapest candidates that free the bytes together, or nil if all of them do not.
func Choose(candidates []Candidate, bytes int64) []string {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		if c := cmp.Compare(Cost(a), Cost(b)); c != 0 {
			return c
		}
		return a.LastUsed.Compare(b.LastUsed)
	})
	var chosen []Candidate
	var freed int64
	for _, c := range order {
		if freed >= bytes {
			break
		}
		chosen = append(chosen, c)
		freed += c.Bytes
	}
	if freed < bytes {
		return nil
	}
	return names(spare(chosen, freed-bytes))
}

// spare drops chosen candidates, dearest first, that the rest can do without.
func spare(chosen []Candidate, surplus int64) []Candidate {
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
