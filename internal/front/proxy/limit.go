package proxy

import (
	"context"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
)

// minLimitWait is the least time for which a request waits for an instance's limit rather than
// going to another instance.
const minLimitWait = 5 * time.Millisecond

// maxLimitWait bounds the wait for an instance's limit. It is the same for all requests: in an
// overload, those that may wait longer would otherwise take all of what the instance takes.
const maxLimitWait = 600 * time.Millisecond

// limitPatience returns how long the request waits for an instance's limit.
func (c *call) limitPatience() time.Duration {
	return min(maxLimitWait, time.Until(c.waitDeadline())-servingReserve)
}

// waitForLimit waits until an instance that limits its requests takes this one; false if
// another instance should be chosen.
func (c *call) waitForLimit(ctx context.Context, chosen choice) bool {
	if chosen.limit == 0 {
		return true
	}
	maxWait := c.limitPatience()
	patience := maxWait
	if chosen.lead >= 0 {
		maxWait = min(maxWait, chosen.LimitWait+max(chosen.lead, minLimitWait))
	}
	began := time.Now()
	wait, ok := c.server.pacer.Reserve(ctx, chosen.InstanceKey, chosen.limit, maxWait)
	if !ok {
		c.server.tracker.recordLimitWait(chosen.InstanceKey, wait)
		if wait > patience {
			c.overLimit[chosen.InstanceKey] = wait
		}
		return false
	}
	c.server.tracker.recordLimitWait(chosen.InstanceKey, wait+time.Duration(float64(time.Second)/chosen.limit))
	if wait == 0 {
		return ctx.Err() == nil
	}
	sleep.For(ctx, wait)
	c.waited += time.Since(began)
	in, ok := c.server.stateSource.State().Instances[chosen.ID]
	return ctx.Err() == nil && ok && in.InstanceKey == chosen.InstanceKey && !in.Draining
}

// limitRetryAfter returns the shortest wait at the instances that would take the request too
// late; ok is false if there are none.
func (c *call) limitRetryAfter() (wait time.Duration, ok bool) {
	for _, w := range c.overLimit {
		if !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// isOverLimit reports whether an instance would take the request too late.
func (c *call) isOverLimit(k site.InstanceKey) bool {
	_, ok := c.overLimit[k]
	return ok
}
