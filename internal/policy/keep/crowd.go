package keep

import "time"

// crowdWeight is the weight of a new crowd in the mean.
const crowdWeight = 0.05

// Crowd learns how long all requests together wait in one cold start: a burst
// at every router makes many wait for the same load.
type Crowd struct {
	began   time.Time
	current time.Duration
	mean    time.Duration
}

// Arrived counts an arrival; quiet says that nothing ran or waited before it.
// It counts whether or not the replica was loaded.
func (c *Crowd) Arrived(now time.Time, quiet bool, cold time.Duration) {
	if quiet {
		c.close()
		c.began, c.current = now, cold
		return
	}
	if since := now.Sub(c.began); since < cold {
		c.current += cold - since
	}
}

func (c *Crowd) close() {
	switch {
	case c.current == 0:
	case c.mean == 0:
		c.mean = c.current
	default:
		c.mean += time.Duration(crowdWeight * float64(c.current-c.mean))
	}
}

// Wait returns the expected sum of the waits in one cold start, at least one load's time.
func (c *Crowd) Wait(cold time.Duration) time.Duration {
	return max(cold, c.mean)
}
