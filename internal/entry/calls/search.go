package calls

import (
	"context"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
)

// minSearchDelay and maxSearchDelay bound the exponential backoff between
// rounds over the endpoints.
const (
	minSearchDelay = 100 * time.Millisecond
	maxSearchDelay = time.Second
)

// endpointSearch chooses the endpoints of one request's attempts, one after another.
type endpointSearch struct {
	// node is the endpoint of the present attempt.
	node plan.Node
	// tried holds the endpoints tried in this round.
	tried map[string]bool
	// redirectTo is the endpoint that the last refusal names; empty for none.
	redirectTo string
	// lastRefusal is the last attempt's refusal; nil before the first.
	lastRefusal *fault.Refusal
	// delay is the wait before the next round.
	delay time.Duration
}

// nextEndpoint sets node to the endpoint of the next attempt: the one that the last
// refusal redirects to, else the best one not tried yet, else any again after a
// backoff. It reports false if the retry budget, the deadline or the last refusal
// forbids another attempt. An attempt is charged to the retry budget if an earlier
// one may have run.
func (s *endpointSearch) nextEndpoint(ctx context.Context, d *Dispatcher, req Request) bool {
	if s.lastRefusal != nil && !s.lastRefusal.NotRun && !d.spendRetry() {
		return false
	}
	for {
		if s.chooseNode(d, req) {
			return true
		}
		if s.lastRefusal != nil && !isTransient(s.lastRefusal.Code) && s.lastRefusal.NotRun {
			return false
		}
		deadline, _ := ctx.Deadline()
		if time.Until(deadline) < 2*s.delay {
			return false
		}
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
			return false
		}
		s.delay = min(maxSearchDelay, 2*s.delay)
		s.tried = map[string]bool{}
	}
}

// chooseNode sets node to an endpoint that wasn't tried in this round, and reports whether there is one.
func (s *endpointSearch) chooseNode(d *Dispatcher, req Request) bool {
	v := d.holder.View()
	node, ok := v.Node(s.redirectTo)
	if !ok || s.tried[node.Name] {
		node, ok = d.table.Pick(v, req.Target, s.tried)
	}
	s.redirectTo = ""
	if ok {
		s.node = node
		s.tried[node.Name] = true
	}
	return ok
}

// recordRefusal records an attempt's refusal. Once one attempt may have run, the
// refusal of the whole request says so too.
func (s *endpointSearch) recordRefusal(r *fault.Refusal) {
	s.redirectTo = r.Endpoint
	refusal := *r
	if s.lastRefusal != nil && !s.lastRefusal.NotRun {
		refusal.NotRun = false
	}
	s.lastRefusal = &refusal
}

// isTransient reports whether the same endpoints may soon accept the request.
func isTransient(c fault.Code) bool {
	switch c {
	case fault.Draining, fault.Deposed, fault.NoSlot, fault.NoEndpoint, fault.EndpointLost, fault.EngineFailed, fault.StoreAway, fault.Revoked:
		return true
	}
	return false
}

// finalRefusal returns the refusal of a request that got no answer.
func (s *endpointSearch) finalRefusal(ctx context.Context, req Request) *fault.Refusal {
	switch {
	case s.lastRefusal == nil && ctx.Err() == nil:
		return fault.NotRun(fault.NoEndpoint, "no endpoint serves %q now", req.Target.Model+req.Target.Service).WithRetryAfter(time.Second)
	case s.lastRefusal == nil:
		return fault.NotRun(fault.DeadlineExceeded, "no endpoint for %q was found in time", req.Target.Model+req.Target.Service)
	case !s.lastRefusal.NotRun && !req.idempotent():
		out := *s.lastRefusal
		out.Code = fault.Unsettled
		return &out
	}
	return s.lastRefusal
}
