package idle

import "time"

// Costs holds the costs that the keep-alive time balances.
type Costs struct {
	// ColdWait is the expected total waiting time of all requests in one cold start.
	ColdWait time.Duration
	// ColdStartPrice is the number of idle accelerator seconds that one second of waiting in a cold start is worth.
	ColdStartPrice float64
	// MaxKeepAlive bounds the time that an idle replica stays loaded; KeepAlive replaces 0 by DefaultMaxKeepAlive.
	MaxKeepAlive time.Duration
}

// DefaultMaxKeepAlive bounds the keep-alive time if the policy sets no bound.
const DefaultMaxKeepAlive = 4 * time.Hour

// minGapsSeen is the number of observed gaps below which KeepAlive uses BreakEven instead of the histogram.
const minGapsSeen = 6

// BreakEven returns the idle time whose cost equals that of one cold start,
// bounded by MaxKeepAlive. Without that bound, staying loaded for this time costs
// at most twice the best choice for any gap.
func BreakEven(c Costs) time.Duration {
	return min(c.MaxKeepAlive, time.Duration(c.ColdStartPrice*float64(c.ColdWait)))
}

// KeepAlive returns the time to keep an idle replica loaded at close to the least
// expected cost under the observed gaps.
func KeepAlive(g *Gaps, c Costs) time.Duration {
	if c.MaxKeepAlive == 0 {
		c.MaxKeepAlive = DefaultMaxKeepAlive
	}
	if g == nil || g.seen < minGapsSeen {
		return BreakEven(c)
	}
	return newCostTable(g, c).cheapestKeepAlive()
}

// costTable holds prefix sums over the histogram's buckets.
type costTable struct {
	// coldSeconds is the cost of one cold start in idle accelerator seconds.
	coldSeconds float64
	// maxBuckets is the largest number of buckets that the keep-alive time may cover.
	maxBuckets int
	// weightBefore[i] and idleSecondsBefore[i] sum the weights and the idle seconds of the buckets before i.
	weightBefore      [bucketCount + 1]float64
	idleSecondsBefore [bucketCount + 1]float64
}

func newCostTable(g *Gaps, c Costs) *costTable {
	t := &costTable{coldSeconds: c.ColdStartPrice * c.ColdWait.Seconds()}
	for i, n := range g.weights {
		t.weightBefore[i+1] = t.weightBefore[i] + n
		t.idleSecondsBefore[i+1] = t.idleSecondsBefore[i] + n*midpoint(i).Seconds()
		if lowerEdge(i) <= c.MaxKeepAlive {
			t.maxBuckets = i
		}
	}
	return t
}

// costOfKeeping returns the cost of staying loaded through the first n buckets and
// no longer: idle accelerator seconds, summed over the weighted gaps.
func (t *costTable) costOfKeeping(n int) float64 {
	missed := t.weightBefore[bucketCount] - t.weightBefore[n]
	return t.idleSecondsBefore[n] + missed*(timeCovered(n).Seconds()+t.coldSeconds)
}

// timeCovered returns the time that covers the first n buckets.
func timeCovered(n int) time.Duration {
	if n == 0 {
		return 0
	}
	return upperEdge(n - 1)
}

// costTolerance is the ratio to the least cost up to which a longer keep-alive
// time is preferred: the estimate is no more precise than that, and a longer
// time avoids cold starts.
const costTolerance = 1.1

// cheapestKeepAlive returns the longest keep-alive time whose cost is within costTolerance of the least.
func (t *costTable) cheapestKeepAlive() time.Duration {
	leastCost := t.costOfKeeping(0)
	for n := 1; n <= t.maxBuckets; n++ {
		leastCost = min(leastCost, t.costOfKeeping(n))
	}
	longest := 0
	for n := 0; n <= t.maxBuckets; n++ {
		if t.costOfKeeping(n) <= costTolerance*leastCost {
			longest = n
		}
	}
	return timeCovered(longest)
}
