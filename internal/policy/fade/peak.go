package fade

import (
	"math"
	"time"
)

// peakHalf is the time in which a peak falls to a half: a server that is avoided
// for its peak shows few new ones.
const peakHalf = time.Minute

// Peak is the largest of some durations, which fades; its zero value is empty.
type Peak struct {
	value time.Duration
	at    time.Time
}

// Value returns what is left of the peak.
func (p Peak) Value(now time.Time) time.Duration {
	if p.value == 0 {
		return 0
	}
	return time.Duration(float64(p.value) * math.Exp2(-now.Sub(p.at).Seconds()/peakHalf.Seconds()))
}

// With returns the peak after one more duration.
func (p Peak) With(d time.Duration, now time.Time) Peak {
	if d <= p.Value(now) {
		return p
	}
	return Peak{value: d, at: now}
}
