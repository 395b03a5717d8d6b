package idle

import "time"

// burstSmoothing is the weight of a new burst in the moving average.
const burstSmoothing = 0.05

// BurstWait is an exponentially weighted moving average of the total time that
// requests wait in one cold start. A burst at every router makes many requests
// wait for the same load.
type BurstWait struct {
	startedAt   time.Time
	currentWait time.Duration
	meanWait    time.Duration
}

// Arrival records an arrival, whether or not the replica is loaded. idle is set
// if no request ran or waited before it, which starts a new burst.
func (c *BurstWait) Arrival(now time.Time, idle bool, loadTime time.Duration) {
	if idle {
		c.recordBurst()
		c.startedAt, c.currentWait = now, loadTime
		return
	}
	if since := now.Sub(c.startedAt); since < loadTime {
		c.currentWait += loadTime - since
	}
}

// recordBurst adds the current burst to the average.
func (c *BurstWait) recordBurst() {
	switch {
	case c.currentWait == 0:
	case c.meanWait == 0:
		c.meanWait = c.currentWait
	default:
		c.meanWait += time.Duration(burstSmoothing * float64(c.currentWait-c.meanWait))
	}
}

// Wait returns the expected total waiting time in one cold start, at least one load time.
func (c *BurstWait) Wait(loadTime time.Duration) time.Duration {
	return max(loadTime, c.meanWait)
}
