package idle

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of histogram buckets per doubling of the gap.
	bucketsPerDoubling = 4
	// firstUpperEdge is the upper edge of the first bucket.
	firstUpperEdge = time.Second
	// bucketCount covers gaps up to firstUpperEdge * 2^((bucketCount-1)/bucketsPerDoubling), about ten days;
	// longer gaps count in the last bucket.
	bucketCount = 80
	// decayPerGap multiplies the weights of earlier gaps at each new gap, so that a change in the traffic shows within a few dozen gaps.
	decayPerGap = 0.97
)

// Gaps is a decaying histogram of a model's idle gaps: the times between the end
// of one request and the arrival of the next.
type Gaps struct {
	weights     [bucketCount]float64
	totalWeight float64
	seen        int
}

// Observe adds one gap.
func (g *Gaps) Observe(gap time.Duration) {
	for i := range g.weights {
		g.weights[i] *= decayPerGap
	}
	g.weights[bucketOf(gap)]++
	g.totalWeight = g.totalWeight*decayPerGap + 1
	g.seen++
}

// Seen returns the number of gaps observed.
func (g *Gaps) Seen() int {
	return g.seen
}

// ShareLonger returns the share of gaps longer than d at the resolution of the buckets, 1 before the first gap.
func (g *Gaps) ShareLonger(d time.Duration) float64 {
	if g.totalWeight == 0 {
		return 1
	}
	var longer float64
	for i := bucketOf(d) + 1; i < bucketCount; i++ {
		longer += g.weights[i]
	}
	return longer / g.totalWeight
}

// ShareWithin returns the share of the gaps longer than idle that end within a
// further d, 0 if no gap was longer.
func (g *Gaps) ShareWithin(idle, d time.Duration) float64 {
	longer := g.ShareLonger(idle)
	if longer == 0 {
		return 0
	}
	return (longer - g.ShareLonger(idle+d)) / longer
}

// bucketOf returns the index of the bucket of a gap.
func bucketOf(d time.Duration) int {
	if d <= firstUpperEdge {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstUpperEdge)) * bucketsPerDoubling))
	return min(i, bucketCount-1)
}

// upperEdge returns the upper edge of a bucket.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(firstUpperEdge) * math.Exp2(float64(i)/bucketsPerDoubling))
}

// lowerEdge returns the lower edge of a bucket.
func lowerEdge(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return upperEdge(i - 1)
}

func midpoint(i int) time.Duration {
	return (lowerEdge(i) + upperEdge(i)) / 2
}
