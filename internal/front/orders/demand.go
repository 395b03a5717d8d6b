package orders

import (
	"math"
	"time"
)

// demandMemory is the time in which the weight of past requests falls to a third.
const demandMemory = 6 * time.Second

// demand keeps a fading rate of requests by model.
type demand struct {
	rates map[string]fading
}

type fading struct {
	rate float64
	at   time.Time
}

func newDemand() demand {
	return demand{rates: map[string]fading{}}
}

// add counts requests of a model.
func (d demand) add(model string, n int, now time.Time) {
	f := d.rates[model]
	d.rates[model] = fading{rate: f.now(now) + float64(n)/demandMemory.Seconds(), at: now}
}

// now returns the requests a second.
func (f fading) now(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/demandMemory.Seconds())
}

// all returns the requests a second of every model.
func (d demand) all(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(d.rates))
	for m, f := range d.rates {
		out[m] = f.now(now)
	}
	return out
}
