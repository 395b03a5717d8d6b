package fade

import (
	"math"
	"time"
)

// Memory is the time in which the weight of an event falls to a third.
const Memory = 6 * time.Second

// Count is a sum of events that fades; its zero value is empty.
type Count struct {
	weight float64
	at     time.Time
}

// Weight returns the events that still count.
func (c Count) Weight(now time.Time) float64 {
	if c.weight == 0 {
		return 0
	}
	return c.weight * math.Exp(-now.Sub(c.at).Seconds()/Memory.Seconds())
}

// Add returns the count after n more events.
func (c Count) Add(n float64, now time.Time) Count {
	return Count{weight: c.Weight(now) + n, at: now}
}

// Rate returns the events a second.
func (c Count) Rate(now time.Time) float64 {
	return c.Weight(now) / Memory.Seconds()
}
