package slots

import (
	"time"

	"foxtailcroft/internal/agent/queue"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/policy/idle"
)

// phase is the state of an item in its load cycle.
type phase int

const (
	unloaded phase = iota
	loading
	loaded
	unloading
)

func (p phase) String() string {
	return [...]string{"Dormant", "Loading", "Loaded", "Unloading"}[p]
}

// item is a model or an adapter at this endpoint. It counts against the
// endpoint's memory in every phase except unloaded.
type item struct {
	name    engine.Item
	bytes   int64
	phase   phase
	running int
	// idleSince is when the last request ended, or when the load ended if no request has run since.
	idleSince     time.Time
	lastLoadStart time.Time
	// lastOrderEnd is when the last load or unload ended.
	lastOrderEnd time.Time
	loadCount    int64
	// idleTotal is the total time for which the item was loaded without a running request.
	idleTotal time.Duration
	// meanLoadTime is a moving average of the load times; 0 before the first load.
	meanLoadTime    time.Duration
	recentLoadTimes []time.Duration
}

// maxRecentLoadTimes bounds the load times kept for computing percentiles.
const maxRecentLoadTimes = 128

// recordLoad marks the item as loaded and adds the load time to its statistics.
func (i *item) recordLoad(took time.Duration, now time.Time) {
	i.phase, i.idleSince, i.lastOrderEnd = loaded, now, now
	i.loadCount++
	i.meanLoadTime = movingAverage(i.meanLoadTime, took)
	i.recentLoadTimes = append(i.recentLoadTimes, took)
	if len(i.recentLoadTimes) > maxRecentLoadTimes {
		i.recentLoadTimes = i.recentLoadTimes[1:]
	}
}

// beginRequest records that a request has started on the item.
func (i *item) beginRequest(now time.Time) {
	if i.running == 0 {
		i.idleTotal += now.Sub(i.idleSince)
	}
	i.running++
}

// endRequest records that a request on the item has ended.
func (i *item) endRequest(now time.Time) {
	i.running--
	if i.running == 0 {
		i.idleSince = now
	}
}

// movingAverage returns the exponentially weighted moving average after the
// next sample, which has weight 1/4; a mean of 0 stands for no samples yet.
func movingAverage(mean, next time.Duration) time.Duration {
	if mean == 0 {
		return next
	}
	return mean + (next-mean)/4
}

// replica is a model's replica at this endpoint with its adapters and queued requests.
type replica struct {
	item
	spec     kinds.ModelSpec
	adapters map[string]*item
	queue    queue.Queue
	// patientRunning is the number of running requests of the patient class.
	patientRunning int
	// idleGaps records the times from lastRequestEnd to the next arrival.
	// lastRequestEnd is first set at the end of the first load or at adoption.
	idleGaps       idle.Gaps
	lastRequestEnd time.Time
	// coldWaits estimates the sum of all requests' waits in one cold start.
	coldWaits idle.BurstWait
	// meanServiceTime is a moving average of the requests' run times; 0 before the first request ends.
	meanServiceTime time.Duration
	// requestCount counts requests; coldRequestCount counts those that had to wait for a load.
	requestCount     int64
	coldRequestCount int64
	// releasing refuses new requests while the slot is not active.
	releasing bool
	// retryAt is the earliest time of the next load after a failed one.
	retryAt time.Time
	// loadFailures counts the failed loads of the model and its adapters since the
	// last that succeeded, and lastLoadError is the last one's error; 0 and empty
	// after a success.
	loadFailures  int
	lastLoadError string
}

// isIdle reports whether no request runs or waits.
func (r *replica) isIdle() bool {
	return r.running == 0 && r.queue.Len() == 0
}

// adapterOrderPending reports whether a load or unload of an adapter is in progress.
func (r *replica) adapterOrderPending() bool {
	for _, a := range r.adapters {
		if a.phase == loading || a.phase == unloading {
			return true
		}
	}
	return false
}
