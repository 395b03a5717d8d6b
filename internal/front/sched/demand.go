package sched

import (
	"math"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/fair"
	"foxtailcroft/internal/policy/swap"
)

const (
	// adapterActiveWindow is how long after its last request an adapter counts as in use.
	adapterActiveWindow = 8 * time.Second
)

// demand keeps exponentially decaying counts of requests and prompt processing time
// by model, and the time of the last request for each adapter.
type demand struct {
	requests map[string]decay.Count
	// priorities sums the priorities of these requests.
	priorities map[string]decay.Count
	// sent counts the requests that reached a server, and promptSeconds the
	// seconds that servers spend on their prompts (prefill).
	sent               map[string]decay.Count
	promptSeconds      map[string]decay.Count
	adapterLastRequest map[site.Target]time.Time
}

func newDemand() demand {
	return demand{requests: map[string]decay.Count{}, priorities: map[string]decay.Count{}, sent: map[string]decay.Count{}, promptSeconds: map[string]decay.Count{}, adapterLastRequest: map[site.Target]time.Time{}}
}

// add counts n requests of a mean priority for a model or adapter, served or not.
func (d demand) add(t site.Target, n, priority float64, now time.Time) {
	d.requests[t.Model] = d.requests[t.Model].Add(n, now)
	d.priorities[t.Model] = d.priorities[t.Model].Add(n*priority, now)
	if t.Name != "" {
		d.adapterLastRequest[t] = now
	}
}

// addSent counts requests that were sent to a server, and the time that the server
// spends on their prompts.
func (d demand) addSent(t site.Target, requests int, promptTime time.Duration, now time.Time) {
	if requests == 0 || t.Model == "" {
		return
	}
	d.sent[t.Model] = d.sent[t.Model].Add(float64(requests), now)
	d.promptSeconds[t.Model] = d.promptSeconds[t.Model].Add(promptTime.Seconds(), now)
}

// promptTimePerRequest returns the mean prompt processing time of a model's requests,
// 0 if too few were seen.
func (d demand) promptTimePerRequest(model string, now time.Time) time.Duration {
	sent := d.sent[model].Value(now)
	if sent < minSentWeight {
		return 0
	}
	return time.Duration(d.promptSeconds[model].Value(now) / sent * float64(time.Second))
}

// meanPriority returns the mean priority of a model's recent requests.
func (d demand) meanPriority(model string, now time.Time) float64 {
	requests := d.requests[model].Value(now)
	if requests == 0 {
		return 0
	}
	return d.priorities[model].Value(now) / requests
}

// minSentWeight is the decayed number of requests below which the prompt time per
// request is unknown.
const minSentWeight = 1.0

// byModel returns the demand for every requested model, and drops adapters that are no longer in use.
func (d demand) byModel(now time.Time) map[string]swap.Demand {
	out := make(map[string]swap.Demand, len(d.requests))
	mostUrgent := math.Inf(1)
	for m := range d.requests {
		mostUrgent = min(mostUrgent, d.meanPriority(m, now))
	}
	for m, count := range d.requests {
		out[m] = swap.Demand{Rate: count.Rate(now), Value: fair.PriorityWeight(d.meanPriority(m, now), mostUrgent), PrefillTime: d.promptTimePerRequest(m, now)}
	}
	for a, lastRequest := range d.adapterLastRequest {
		if now.Sub(lastRequest) > adapterActiveWindow {
			delete(d.adapterLastRequest, a)
			continue
		}
		modelDemand := out[a.Model]
		modelDemand.ActiveAdapters++
		out[a.Model] = modelDemand
	}
	return out
}
