package proxy

import (
	"math"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

const (
	// maxReportedTargets bounds the models and adapters in a usage report, and maxTargetBytes the
	// length of their names: callers choose them, and a report that is longer than a message is lost.
	maxReportedTargets = 1024
	maxTargetBytes     = 128
)

// isReportable reports whether a target's name is short enough for usage reports.
func isReportable(t site.Target) bool {
	return len(t.Model)+len(t.Name) <= maxTargetBytes
}

// countRequest counts a request of a priority for a model or adapter.
func (t *instanceTracker) countRequest(target site.Target, priority int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.recentRequests[target]; !isReportable(target) || !ok && len(t.recentRequests) >= maxReportedTargets {
		return
	}
	t.newRequests[target]++
	t.recentRequests[target] = t.recentRequests[target].Add(1, time.Now())
	if priority > 0 {
		t.recentPriorities[target] = t.recentPriorities[target].Add(float64(priority), time.Now())
	}
}

// minRecentWeight is the decayed number of requests below which past requests for a target are forgotten.
const minRecentWeight = 0.2

// priorityDigits rounds mean priorities in usage reports to one digit after the point.
const priorityDigits = 10

// takeRequestCounts returns the requests since the last call or, with allRecent, the
// decayed weight of all; the caller holds the lock.
func (t *instanceTracker) takeRequestCounts(allRecent bool) []peers.RequestCount {
	var out []peers.RequestCount
	now := time.Now()
	for target, c := range t.recentRequests {
		n := t.newRequests[target]
		if allRecent {
			n = c.Value(now)
		}
		if n > 0 {
			priority := t.recentPriorities[target].Value(now) / c.Value(now)
			out = append(out, peers.RequestCount{Target: target, Requests: n, Priority: math.Round(priority*priorityDigits) / priorityDigits})
		}
		if c.Value(now) < minRecentWeight {
			delete(t.recentRequests, target)
			delete(t.recentPriorities, target)
		}
	}
	clear(t.newRequests)
	return out
}
