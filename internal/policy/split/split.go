package split

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Mix counts requests by the length of their prompts, and the time that servers read them.
type Mix struct {
	Short, Long         float64
	ShortWork, LongWork time.Duration
}

// Plus returns the sum of two mixes.
func (m Mix) Plus(o Mix) Mix {
	return Mix{m.Short + o.Short, m.Long + o.Long, m.ShortWork + o.ShortWork, m.LongWork + o.LongWork}
}

// Times returns the mix with every number multiplied by a factor.
func (m Mix) Times(factor float64) Mix {
	return Mix{m.Short * factor, m.Long * factor, time.Duration(float64(m.ShortWork) * factor), time.Duration(float64(m.LongWork) * factor)}
}

const (
	// minPauseFactor is the factor of policy/stall below which streams pause too rarely for a division to pay.
	minPauseFactor = 0.25
	// minLongWork is the least share of the reading time, and minShort the least share
	// of the requests, that make prompts of two kinds of one mix.
	minLongWork = 0.75
	minShort    = 0.25
	// longShare is the share of a model's servers that get its long prompts.
	longShare = 0.65
)

// LongShare returns the share of each model's servers that get long prompts, 0 if
// servers get prompts of any length: where streams rarely pause, and where the long
// prompts are no kind of their own that does most of the reading.
func LongShare(m Mix, pauseFactor float64) float64 {
	work, requests := m.ShortWork+m.LongWork, m.Short+m.Long
	if pauseFactor < minPauseFactor || work <= 0 || float64(m.LongWork) < minLongWork*float64(work) || m.Short < minShort*requests {
		return 0
	}
	return longShare
}

// ForLong returns for each server of a model whether it gets the long prompts, nil if all
// get prompts of any length. Callers that know the same servers get the same result.
func ForLong(model string, servers []string, share float64) []bool {
	if share <= 0 || len(servers) < 2 {
		return nil
	}
	order := make([]int, len(servers))
	rank := make([]uint64, len(servers))
	for i, id := range servers {
		order[i], rank[i] = i, xxhash.Sum64String(model+"/"+id)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	out := make([]bool, len(servers))
	count := min(len(servers)-1, max(1, int(math.Round(share*float64(len(servers))))))
	for _, i := range order[:count] {
		out[i] = true
	}
	return out
}
