package loads

import "time"

const (
	// defaultConcurrency is the number of concurrent loads before the first observation.
	defaultConcurrency = 2
	// maxConcurrency bounds the estimate and with it the concurrency that is tried.
	maxConcurrency = 8
	// slowdownThreshold is the ratio to the full-speed time above which a load counts as slowed down.
	slowdownThreshold = 1.15
	// roundingOffset makes the conversion to int round to the nearest number.
	roundingOffset = 0.5
	// loadsBeforeProbe is the number of full-speed loads after a slowed one before a higher concurrency is tried.
	loadsBeforeProbe = 8
)

// Concurrency estimates the concurrency that a weight store serves at full speed; the zero value has no observations.
type Concurrency struct {
	concurrency int
	// fullSpeedLoads counts the full-speed loads since the last slowed one,
	// starting at -loadsBeforeProbe; above 0 the estimate may rise.
	fullSpeedLoads int
}

// FromEstimate returns a Concurrency that continues from the estimate of another
// process, limited to maxConcurrency; 0 or less stands for no observations.
func FromEstimate(concurrency int) Concurrency {
	return Concurrency{concurrency: max(0, min(maxConcurrency, concurrency))}
}

// Limit returns the estimated number of concurrent loads that run at full speed.
func (l Concurrency) Limit() int {
	if l.concurrency == 0 {
		return defaultConcurrency
	}
	return l.concurrency
}

// Observe returns the estimate updated with a load that has ended. concurrent is
// the largest number of loads that ran at once, itself included, and
// fullSpeedTime the duration it would have alone. The estimate doesn't change if
// fullSpeedTime or concurrent is not positive.
func (l Concurrency) Observe(concurrent int, took, fullSpeedTime time.Duration) Concurrency {
	if fullSpeedTime <= 0 || concurrent < 1 {
		return l
	}
	slowdown := float64(took) / float64(fullSpeedTime)
	switch {
	case slowdown > slowdownThreshold:
		// Beyond the store's capacity the duration grows in proportion to the number of concurrent loads.
		l.concurrency, l.fullSpeedLoads = max(1, min(l.Limit(), int(float64(concurrent)/slowdown+roundingOffset))), -loadsBeforeProbe
	case concurrent >= l.Limit():
		l.fullSpeedLoads++
		if l.fullSpeedLoads > 0 {
			l.concurrency = min(maxConcurrency, concurrent+1)
		}
	}
	return l
}
