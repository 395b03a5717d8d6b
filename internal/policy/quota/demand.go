package quota

import (
	"math"
	"time"
)

// demandTime is the time over which demand is averaged; it fades exponentially.
const demandTime = time.Second

// Demand is a front's recent demand for an account; the zero value has none.
type Demand struct {
	cost     float64
	requests float64
	at       time.Duration
}

// Add adds a request.
func (d *Demand) Add(now time.Duration, cost float64) {
	d.fade(now)
	d.cost += cost
	d.requests++
}

// Ahead returns what the front is expected to use within LeaseTime, in multiples of the mean cost
// of a request, and that cost.
func (d *Demand) Ahead(now time.Duration) (ahead, unit float64) {
	d.fade(now)
	if d.requests <= 0 || d.cost <= 0 {
		return 0, 0
	}
	unit = d.cost / d.requests
	return math.Floor(d.requests*LeaseTime.Seconds()/demandTime.Seconds()) * unit, unit
}

func (d *Demand) fade(now time.Duration) {
	if now > d.at {
		f := math.Exp(-(now - d.at).Seconds() / demandTime.Seconds())
		d.cost, d.requests, d.at = d.cost*f, d.requests*f, now
	}
}
