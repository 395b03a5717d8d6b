package keep

import "time"

// Costs are what the decision weighs.
type Costs struct {
	// ColdStart is the expected time of a load.
	ColdStart time.Duration
	// Price is how many idle accelerator seconds one second of cold start is worth.
	Price float64
	// Max bounds the time that an idle replica stays loaded.
	Max time.Duration
}

// DefaultMax bounds keep-alive where no policy does.
const DefaultMax = 4 * time.Hour

// Decision says when, counted from the moment it fell idle, a replica is loaded.
type Decision struct {
	// Keep is how long it stays loaded at once.
	Keep time.Duration
	// WakeAt and WakeUntil bound a second time loaded, ahead of an expected request; both are 0 for none.
	WakeAt    time.Duration
	WakeUntil time.Duration
}

// Loaded reports whether the replica is to be loaded after that time idle.
func (d Decision) Loaded(idle time.Duration) bool {
	return idle < d.Keep || (d.WakeAt > 0 && idle >= d.WakeAt && idle < d.WakeUntil)
}

// minSeen is how many gaps are needed before their histogram decides.
const minSeen = 6

// BreakEven returns the time after which the idle cost equals one cold start:
// keeping that long costs at most twice the best choice, whatever the gap.
func BreakEven(c Costs) time.Duration {
	return min(c.Max, time.Duration(c.Price*float64(c.ColdStart)))
}

// Decide returns the cheapest decision under the observed gaps.
func Decide(g *Gaps, c Costs) Decision {
	if c.Max == 0 {
		c.Max = DefaultMax
	}
	if g == nil || g.seen < minSeen {
		return Decision{Keep: BreakEven(c)}
	}
	t := newTable(g, c)
	best, cost := t.bestKeep()
	if wake, wakeCost := t.bestWake(); wakeCost < cost*wakeGain {
		return wake
	}
	return best
}

// wakeGain is the share of the plain decision's cost that a wake ahead must come under, because it also costs a load.
const wakeGain = 0.9

// table holds prefix sums over the histogram's buckets.
type table struct {
	gaps  *Gaps
	cold  float64
	limit int
	// count[i] and idle[i] sum the weights and the idle seconds of buckets before i.
	count [bucketCount + 1]float64
	idle  [bucketCount + 1]float64
}

func newTable(g *Gaps, c Costs) *table {
	t := &table{gaps: g, cold: c.Price * c.ColdStart.Seconds()}
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

func (t *table) bestKeep() (Decision, float64) {
	best, cost := 0, t.keepCost(0)
	for n := 1; n <= t.limit; n++ {
		if c := t.keepCost(n); c < cost {
			best, cost = n, c
		}
	}
	return Decision{Keep: edge(best)}, cost
}

// bestWake returns the cheapest decision that drops the replica at once or
// after a short while and loads it again for a range of later buckets.
func (t *table) bestWake() (Decision, float64) {
	var best Decision
	cost := t.keepCost(0) * 2
	all := t.count[bucketCount]
	for n := 0; n <= min(t.limit, maxKeepBuckets); n++ {
		for a := n + 1; a < t.limit; a++ {
			missedBefore := t.count[a] - t.count[n]
			kept := t.idle[n] + (all-t.count[n])*edge(n).Seconds() + missedBefore*t.cold
			if kept >= cost {
				break
			}
			for b := a + 1; b <= min(t.limit, a+maxWakeBuckets); b++ {
				inside := t.count[b] - t.count[a]
				hit := t.idle[b] - t.idle[a] - inside*edge(a).Seconds()
				past := (all - t.count[b]) * (edge(b).Seconds() - edge(a).Seconds() + t.cold)
				if c := kept + hit + past; c < cost {
					cost = c
					best = Decision{Keep: edge(n), WakeAt: edge(a), WakeUntil: edge(b)}
				}
			}
		}
	}
	return best, cost
}

const (
	// maxKeepBuckets bounds the first time loaded that the search for a wake ahead tries.
	maxKeepBuckets = 32
	// maxWakeBuckets bounds the width of a wake ahead.
	maxWakeBuckets = 24
)
