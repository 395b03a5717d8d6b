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

// demand keeps fading rates of requests and of servers' work by model, and when each adapter was last asked for.
type demand struct {
	rates map[string]fade.Count
	// sent and work are the requests that reached a server, and the seconds that reading their prompts takes.
	sent     map[string]fade.Count
	work     map[string]fade.Count
	adapters map[site.Adapter]time.Time
}

func newDemand() demand {
	return demand{rates: map[string]fade.Count{}, sent: map[string]fade.Count{}, work: map[string]fade.Count{}, adapters: map[site.Adapter]time.Time{}}
}

// add counts requests of a model or adapter.
func (d demand) add(t site.Adapter, n float64, now time.Time) {
	d.rates[t.Model] = d.rates[t.Model].Add(n, now)
	if t.Name != "" {
		d.adapters[t] = now
	}
}

// worked counts requests that were sent to a server, and its work for them.
func (d demand) worked(t site.Adapter, requests int, work time.Duration, now time.Time) {
	if requests == 0 || t.Model == "" {
		return
	}
	d.sent[t.Model] = d.sent[t.Model].Add(float64(requests), now)
	d.work[t.Model] = d.work[t.Model].Add(work.Seconds(), now)
}

// each returns the work for one request of a model, 0 if not known.
func (d demand) each(model string, now time.Time) time.Duration {
	sent := d.sent[model].Weight(now)
	if sent < leastSent {
		return 0
	}
	return time.Duration(d.work[model].Weight(now) / sent * float64(time.Second))
}

// leastSent is the weight of requests from which the work for each is known.
const leastSent = 1.0

// all returns the demand for every model.
func (d demand) all(now time.Time) map[string]swap.Demand {
	out := make(map[string]swap.Demand, len(d.rates))
	for m, f := range d.rates {
		out[m] = swap.Demand{Rate: f.Rate(now), Each: d.each(m, now)}
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
