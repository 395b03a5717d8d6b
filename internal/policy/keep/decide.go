package keep

import "time"

// Costs are what the decision weighs.
type Costs struct {
	// ColdWait is the expected sum of all requests' waits in one cold start.
	ColdWait time.Duration
	// Price is how many idle accelerator seconds one second of cold start is worth.
	Price float64
	// Max bounds the time that an idle replica stays loaded.
	Max time.Duration
}

// DefaultMax bounds keep-alive where no policy does.
const DefaultMax = 4 * time.Hour

// minSeen is how many gaps are needed before their histogram decides.
const minSeen = 6

// BreakEven returns the time after which the idle cost equals one cold start:
// keeping that long costs at most twice the best choice, whatever the gap.
func BreakEven(c Costs) time.Duration {
	return min(c.Max, time.Duration(c.Price*float64(c.ColdWait)))
}

// Alive returns the time that an idle replica stays loaded at the least
// expected cost under the observed gaps.
func Alive(g *Gaps, c Costs) time.Duration {
	if c.Max == 0 {
		c.Max = DefaultMax
	}
	if g == nil || g.seen < minSeen {
		return BreakEven(c)
	}
	return newTable(g, c).cheapest()
}

// table holds prefix sums over the histogram's buckets.
type table struct {
	cold  float64
	limit int
	// count[i] and idle[i] sum the weights and the idle seconds of buckets before i.
	count [bucketCount + 1]float64
	idle  [bucketCount + 1]float64
}

func newTable(g *Gaps, c Costs) *table {
	t := &table{cold: c.Price * c.ColdWait.Seconds()}
	for i, n := range g.counts {
		t.count[i+1] = t.count[i] + n
		t.idle[i+1] = t.idle[i] + n*middle(i).Seconds()
		if lower(i) <= c.Max {
			t.limit = i
		}
	}
	return t
}

// keepCost returns the cost of staying loaded through bucket n-1 and no longer.
func (t *table) keepCost(n int) float64 {
	missed := t.count[bucketCount] - t.count[n]
	return t.idle[n] + missed*(edge(n).Seconds()+t.cold)
}

// edge returns the time that covers the first n buckets.
func edge(n int) time.Duration {
	if n == 0 {
		return 0
	}
	return upper(n - 1)
}

// nearCheapest is how much dearer than the cheapest a longer time may be and
// still be preferred: the estimate is no better than that, and a longer time
// spares cold starts.
const nearCheapest = 1.1

// cheapest returns the longest time to stay loaded whose cost is near the least.
func (t *table) cheapest() time.Duration {
	least := t.keepCost(0)
	for n := 1; n <= t.limit; n++ {
		least = min(least, t.keepCost(n))
	}
	longest := 0
	for n := 0; n <= t.limit; n++ {
		if t.keepCost(n) <= nearCheapest*least {
			longest = n
		}
	}
	return edge(longest)
}
