package decay

import (
	"math"
	"time"
)

// TimeConstant is the time in which the weight of an event falls to 1/e, about a third.
const TimeConstant = 6 * time.Second

// Count is an exponentially decaying number of events; the zero value is empty.
type Count struct {
	weight    float64
	updatedAt time.Time
}

// Value returns the decayed number of events.
func (c Count) Value(now time.Time) float64 {
	if c.weight == 0 {
		return 0
	}
	return c.weight * math.Exp(-now.Sub(c.updatedAt).Seconds()/TimeConstant.Seconds())
}

// Add returns the count after n more events.
func (c Count) Add(n float64, now time.Time) Count {
	return Count{weight: c.Value(now) + n, updatedAt: now}
}

// Rate returns the estimated number of events per second.
func (c Count) Rate(now time.Time) float64 {
	return c.Value(now) / TimeConstant.Seconds()
}
