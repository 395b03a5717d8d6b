package delay

import "time"

const (
	// priorityCount is the number of priorities, of which 0 is the most urgent.
	priorityCount = 10
	// lessUrgentShare is the share of the limit of more urgent requests that less urgent ones get, so
	// that these are rejected before those wait for too long.
	lessUrgentShare = 0.5
	// limitMemory is how long after a request its limit applies to less urgent ones.
	limitMemory = 30 * time.Second
	// limitWeight divides the change of the mean limit by one request.
	limitWeight = 4
)

// Limits are the mean limits of the requests for an instance by priority; the zero value has none.
type Limits [priorityCount]struct {
	mean time.Duration
	at   time.Time
}

// Apply returns the limit of a request beside more urgent ones, and remembers it for less urgent ones.
func (l *Limits) Apply(priority int, limit time.Duration, now time.Time) time.Duration {
	priority = max(0, min(priorityCount-1, priority))
	for _, urgent := range l[:priority] {
		if now.Sub(urgent.at) < limitMemory {
			limit = min(limit, time.Duration(lessUrgentShare*float64(urgent.mean)))
		}
	}
	own := &l[priority]
	if now.Sub(own.at) >= limitMemory {
		own.mean = limit
	}
	own.mean += (limit - own.mean) / limitWeight
	own.at = now
	return limit
}
