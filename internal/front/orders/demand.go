package orders

import (
	"math"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/swap"
)

const (
	// demandMemory is the time in which the weight of past requests falls to a third.
	demandMemory = 6 * time.Second
	// adapterActive is how long after a request an adapter counts as in use.
	adapterActive = 8 * time.Second
)

// demand keeps a fading rate of requests by model, and when each adapter was last asked for.
type demand struct {
	rates    map[string]fading
	adapters map[site.Adapter]time.Time
}

type fading struct {
	rate float64
	at   time.Time
}

func newDemand() demand {
	return demand{rates: map[string]fading{}, adapters: map[site.Adapter]time.Time{}}
}

// add counts requests of a model or adapter.
func (d demand) add(t site.Adapter, n int, now time.Time) {
	f := d.rates[t.Model]
	d.rates[t.Model] = fading{rate: f.now(now) + float64(n)/demandMemory.Seconds(), at: now}
	if t.Name != "" {
		d.adapters[t] = now
	}
}

// now returns the requests a second.
func (f fading) now(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/demandMemory.Seconds())
}

// all returns the demand for every model.
func (d demand) all(now time.Time) map[string]swap.Demand {
	out := make(map[string]swap.Demand, len(d.rates))
	for m, f := range d.rates {
		out[m] = swap.Demand{Rate: f.now(now)}
	}
	for a, at := range d.adapters {
		if now.Sub(at) > adapterActive {
			delete(d.adapters, a)
			continue
		}
		x := out[a.Model]
		x.Adapters++
		out[a.Model] = x
	}
	return out
}
