package slots

import (
	"time"

	"foxtailcroft/internal/agent/queue"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/policy/keep"
)

// phase is where an item stands between the engine's memory and nothing.
type phase int

const (
	dormant phase = iota
	loading
	loaded
	unloading
)

func (p phase) String() string {
	return [...]string{"Dormant", "Loading", "Loaded", "Unloading"}[p]
}

// item is a model or an adapter at this endpoint; it takes memory in every phase but dormant.
type item struct {
	name    engine.Item
	bytes   int64
	phase   phase
	running int
	// idleSince is when the last request ended, or the load if none came.
	idleSince time.Time
	lastWake  time.Time
	// settled is when the last load or unload ended.
	settled time.Time
	loads   int64
	idle    time.Duration
	// loadTime is the mean time of a load.
	loadTime time.Duration
	colds    []time.Duration
}

// maxColds bounds the load times kept for percentiles.
const maxColds = 128

// loadedAfter notes a finished load.
func (i *item) loadedAfter(took time.Duration, now time.Time) {
	i.phase, i.idleSince, i.settled = loaded, now, now
	i.loads++
	i.loadTime = blend(i.loadTime, took)
	i.colds = append(i.colds, took)
	if len(i.colds) > maxColds {
		i.colds = i.colds[1:]
	}
}

// begin notes the start of a request.
func (i *item) begin(now time.Time) {
	if i.running == 0 {
		i.idle += now.Sub(i.idleSince)
	}
	i.running++
}

// end notes the end of a request.
func (i *item) end(now time.Time) {
	i.running--
	if i.running == 0 {
		i.idleSince = now
	}
}

// blend returns a moving mean.
func blend(mean, next time.Duration) time.Duration {
	if mean == 0 {
		return next
	}
	return mean + (next-mean)/4
}

// replica is the slot of one model with its adapters and waiting requests.
type replica struct {
	item
	spec     kinds.ModelSpec
	adapters map[string]*item
	queue    queue.Queue
	patient  int
	// gaps is the time from quietSince, when the last request ended, to the next arrival.
	gaps       keep.Gaps
	quietSince time.Time
	crowd      keep.Crowd
	service    time.Duration
	// hits counts requests, cold those of them that waited for a load.
	hits int64
	cold int64
	// releasing stops new requests until the slot is gone.
	releasing bool
	// retryAt delays the next load after one that failed.
	retryAt  time.Time
	failures int
	lastFail string
}

// quiet reports whether no request runs or waits.
func (r *replica) quiet() bool {
	return r.running == 0 && r.queue.Len() == 0
}

// busyAdapters reports whether a load or unload of an adapter is under way.
func (r *replica) busyAdapters() bool {
	for _, a := range r.adapters {
		if a.phase == loading || a.phase == unloading {
			return true
		}
	}
	return false
}
