package orders

import (
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/fade"
	"foxtailcroft/internal/policy/swap"
)

const (
	// adapterActive is how long after a request an adapter counts as in use.
	adapterActive = 8 * time.Second
)

// demand keeps a fading rate of requests by model, and when each adapter was last asked for.
type demand struct {
	rates    map[string]fade.Count
	adapters map[site.Adapter]time.Time
}

func newDemand() demand {
	return demand{rates: map[string]fade.Count{}, adapters: map[site.Adapter]time.Time{}}
}

// add counts requests of a model or adapter.
func (d demand) add(t site.Adapter, n float64, now time.Time) {
	d.rates[t.Model] = d.rates[t.Model].Add(n, now)
	if t.Name != "" {
		d.adapters[t] = now
	}
}

// all returns the demand for every model.
func (d demand) all(now time.Time) map[string]swap.Demand {
	out := make(map[string]swap.Demand, len(d.rates))
	for m, f := range d.rates {
		out[m] = swap.Demand{Rate: f.Rate(now)}
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
