package keep

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the gap histogram.
	bucketsPerDoubling = 4
	// firstEdge is the upper edge of the first bucket.
	firstEdge = time.Second
	// bucketCount covers gaps up to firstEdge * 2^(bucketCount/bucketsPerDoubling), about nine days.
	bucketCount = 80
	// fading multiplies the old counts at each new gap, so that a change of habit shows within a few dozen gaps.
	fading = 0.97
)

// Gaps is a fading histogram of the time between the end of one request and the arrival of the next, by model.
type Gaps struct {
	counts [bucketCount]float64
	total  float64
	seen   int
}

// Observe adds one gap.
func (g *Gaps) Observe(gap time.Duration) {
	for i := range g.counts {
		g.counts[i] *= fading
	}
	g.counts[bucket(gap)]++
	g.total = g.total*fading + 1
	g.seen++
}

// Seen returns the number of gaps observed.
func (g *Gaps) Seen() int {
	return g.seen
}

// SharePast returns the share of gaps longer than d.
func (g *Gaps) SharePast(d time.Duration) float64 {
	if g.total == 0 {
		return 1
	}
	var past float64
	for i := bucket(d) + 1; i < bucketCount; i++ {
		past += g.counts[i]
	}
	return past / g.total
}

// ShareWithin returns the share of the gaps longer than idle that end within d more.
func (g *Gaps) ShareWithin(idle, d time.Duration) float64 {
	past := g.SharePast(idle)
	if past == 0 {
		return 0
	}
	return (past - g.SharePast(idle+d)) / past
}

func bucket(d time.Duration) int {
	if d <= firstEdge {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstEdge)) * bucketsPerDoubling))
	return min(i, bucketCount-1)
}

// upper returns the upper edge of a bucket.
func upper(i int) time.Duration {
	return time.Duration(float64(firstEdge) * math.Exp2(float64(i)/bucketsPerDoubling))
}

// lower returns the lower edge of a bucket.
func lower(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return upper(i - 1)
}

func middle(i int) time.Duration {
	return (lower(i) + upper(i)) / 2
}
