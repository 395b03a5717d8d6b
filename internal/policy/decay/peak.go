package decay

import (
	"math"
	"time"
)

// peakHalfLife is the half-life of a peak. Peaks decay because a server that is
// avoided for its peak yields few new observations.
const peakHalfLife = time.Minute

// Peak is an exponentially decaying maximum of durations; the zero value is empty.
type Peak struct {
	value      time.Duration
	observedAt time.Time
}

// Value returns the decayed peak, 0 if empty.
func (p Peak) Value(now time.Time) time.Duration {
	if p.value == 0 {
		return 0
	}
	return time.Duration(float64(p.value) * math.Exp2(-now.Sub(p.observedAt).Seconds()/peakHalfLife.Seconds()))
}

// Add returns the peak updated with one more duration.
func (p Peak) Add(d time.Duration, now time.Time) Peak {
	if d <= p.Value(now) {
		return p
	}
	return Peak{value: d, observedAt: now}
}
