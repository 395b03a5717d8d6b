package calls

import (
	"context"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
)

const (
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
)

// search goes from endpoint to endpoint for one request.
type search struct {
	node     plan.Node
	tried    map[string]bool
	redirect string
	last     *fault.Refusal
	pause    time.Duration
}

// next moves to the endpoint of the next attempt: where the last one pointed,
// else the best one not yet tried, else any again after a pause.
func (s *search) next(ctx context.Context, d *Dispatcher, req Request) bool {
	if s.last != nil && !s.last.NotRun && !d.spend() {
		return false
	}
	for {
		if s.choose(d, req) {
			return true
		}
		if s.last != nil && !transient(s.last.Code) && s.last.NotRun {
			return false
		}
		deadline, _ := ctx.Deadline()
		if time.Until(deadline) < 2*s.pause {
			return false
		}
		select {
		case <-time.After(s.pause):
		case <-ctx.Done():
			return false
		}
		s.pause = min(maxPause, 2*s.pause)
		s.tried = map[string]bool{}
	}
}

// choose sets the node, if there is one that was not tried.
func (s *search) choose(d *Dispatcher, req Request) bool {
	v := d.holder.View()
	node, ok := v.Node(s.redirect)
	if !ok || s.tried[node.Name] {
		node, ok = d.table.Pick(v, req.Target, s.tried)
	}
	s.redirect = ""
	if ok {
		s.node = node
		s.tried[node.Name] = true
	}
	return ok
}

// failed notes how an attempt ended. Once an attempt may have run, the whole request may have.
func (s *search) failed(r *fault.Refusal) {
	s.redirect = r.Endpoint
	next := *r
	if s.last != nil && !s.last.NotRun {
		next.NotRun = false
	}
	s.last = &next
}

// transient reports whether the same endpoints may soon answer differently.
func transient(c fault.Code) bool {
	switch c {
	case fault.Draining, fault.Deposed, fault.NoSlot, fault.NoEndpoint, fault.EndpointLost, fault.EngineFailed, fault.StoreAway, fault.Revoked:
		return true
	}
	return false
}

// refusal words the end of a request without an answer.
func (s *search) refusal(ctx context.Context, req Request) *fault.Refusal {
	switch {
	case s.last == nil && ctx.Err() == nil:
		return fault.NotRun(fault.NoEndpoint, "no endpoint serves %q now", req.Target.Model+req.Target.Service).WithRetryAfter(time.Second)
	case s.last == nil:
		return fault.NotRun(fault.DeadlineExceeded, "no endpoint for %q was found in time", req.Target.Model+req.Target.Service)
	case !s.last.NotRun && !req.idempotent():
		out := *s.last
		out.Code = fault.Unsettled
		return &out
	}
	return s.last
}
