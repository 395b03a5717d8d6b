package pace

import "time"

const (
	// first is the number of loads side by side before anything was learned.
	first = 2
	// most bounds what is tried.
	most = 8
	// slowed is the share by which a load must exceed its full-speed time to count as slowed down.
	slowed = 1.15
	// rounding rounds the number that the store bears to the nearest.
	rounding = 0.5
	// patience is how many loads at full speed precede the next trial of one more, after one was slowed down.
	patience = 8
)

// Loads is what was learned of a weight store; its zero value is a start.
type Loads struct {
	atOnce int
	// calm counts the loads at full speed since one was slowed down.
	calm int
}

// Known returns what another process has learned.
func Known(atOnce int) Loads {
	return Loads{atOnce: max(0, min(most, atOnce))}
}

// AtOnce returns how many loads run at full speed side by side, as far as known.
func (l Loads) AtOnce() int {
	if l.atOnce == 0 {
		return first
	}
	return l.atOnce
}

// Ended returns what is known after a load that ran beside others (itself
// counted in at its busiest), took a time, and takes another at full speed.
func (l Loads) Ended(beside int, took, fullSpeed time.Duration) Loads {
	if fullSpeed <= 0 || beside < 1 {
		return l
	}
	factor := float64(took) / float64(fullSpeed)
	switch {
	case factor > slowed:
		// The time grows with the number side by side beyond what the store bears.
		l.atOnce, l.calm = max(1, min(l.AtOnce(), int(float64(beside)/factor+rounding))), -patience
	case beside >= l.AtOnce():
		l.calm++
		if l.calm > 0 {
			l.atOnce = min(most, beside+1)
		}
	}
	return l
}
