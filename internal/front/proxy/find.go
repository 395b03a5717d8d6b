package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/proof"
)

const (
	// servingReserve is the part of the remaining time that is reserved for serving once the model is loaded.
	servingReserve = 500 * time.Millisecond
	// plannerRetryDelay is the wait after a planner call failed because there is no planner or it is unreachable.
	plannerRetryDelay = 100 * time.Millisecond
	// plannerAskInterval bounds one planner call; a request that still waits then calls again.
	plannerAskInterval = time.Second
	// plainServiceMaxWait bounds the wait for an instance of a service without managed models.
	plainServiceMaxWait = 300 * time.Millisecond
	// maxPlannerlessTime bounds the time of failed planner calls per request: a
	// lost planner is replaced within its lease and the time until fronts learn of it.
	maxPlannerlessTime = 4 * time.Second
)

// findInstance returns the instance to try next, waiting for one if needed; false if the request has ended.
func (c *call) findInstance(ctx context.Context) (site.Instance, bool) {
	if c.endIfBlocked(ctx) {
		return site.Instance{}, false
	}
	if c.request.Target.Model != "" && c.attempts == (proof.Request{}) {
		c.server.tracker.countRequest(c.request.Target, c.priority())
	}
	for {
		c.state = c.server.stateSource.State()
		untried := c.untried(c.candidates())
		list := c.withoutClosed(untried)
		if chosen, ok := c.server.tracker.pickInstance(list, c.server.settings.Node.Domain, &c.request, c.route.MaxTokenGap, c.server.pool.HasIdle); ok {
			c.lastChoice = chosen
			c.lastChoice.options = options{}
			step := c.checkChoice(ctx, chosen)
			if step == chooseAgain {
				continue
			}
			return chosen.Instance, step == sendRequest
		}
		wait := c.waitForInstance
		if len(list) < len(untried) {
			wait = c.waitForVersion
		}
		if !wait(ctx) || c.endIfBlocked(ctx) {
			return site.Instance{}, false
		}
	}
}

// choiceStep tells what follows the choice of an instance.
type choiceStep int

const (
	// sendRequest means that the request may be sent to the instance.
	sendRequest choiceStep = iota
	// chooseAgain means that more is known now or that the instance takes no request at the moment.
	chooseAgain
	// endedWithoutSend means that the request has ended.
	endedWithoutSend
)

// checkChoice asks instances for their slowdowns and loads, rejects the request if it would be late
// everywhere, and waits for the chosen instance's limit.
func (c *call) checkChoice(ctx context.Context, chosen choice) choiceStep {
	if c.inquire(ctx, chosen.inquiries) {
		return chooseAgain
	}
	if ended, asked := c.endIfLate(ctx, chosen.options); ended {
		return endedWithoutSend
	} else if asked {
		return chooseAgain
	}
	mayGo := c.waitForLimit(ctx, chosen)
	switch {
	case c.endIfExpired(ctx) || c.endIfBlocked(ctx):
		return endedWithoutSend
	case !mayGo:
		return chooseAgain
	}
	return sendRequest
}

// candidates returns the instances that could serve the request, including those already tried.
func (c *call) candidates() []site.Instance {
	list := c.serving()
	if !c.needsLoadedModel() {
		return list
	}
	return c.server.tracker.filterHolders(list, c.request.Target)
}

// needsLoadedModel reports whether the request names a model of a service whose models the planner loads.
func (c *call) needsLoadedModel() bool {
	svc := c.state.Document.Services[c.service]
	return c.request.Target.Model != "" && svc != nil && svc.Engine != nil
}

// untried returns the instances that the request has not tried yet and that would take it in time.
func (c *call) untried(list []site.Instance) []site.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool { return c.tried[in.InstanceKey] || c.isOverLimit(in.InstanceKey) })
}

// waitForInstance waits until instances may be tried again; false if the request has ended.
func (c *call) waitForInstance(ctx context.Context) bool {
	waitStart := time.Now()
	defer func() { c.waited += time.Since(waitStart) }()
	if c.bound && len(c.serving()) == 0 {
		c.refuse(http.StatusServiceUnavailable, "no instance of the version that began the stream", 0)
		return false
	}
	if c.needsLoadedModel() {
		return c.waitForModel(ctx)
	}
	if wait, ok := c.limitRetryAfter(); ok {
		c.refuse(http.StatusServiceUnavailable, "instances are at their limits", max(defaultRetryAfter, wait))
		return false
	}
	next := c.server.tracker.untilNext(c.candidates())
	if c.waited > plainServiceMaxWait || next > plainServiceMaxWait {
		c.refuse(http.StatusServiceUnavailable, "no instance to try", max(defaultRetryAfter, next))
		return false
	}
	// All instances have rejected the request or a connection; they may have capacity again after a short delay.
	sleep.For(ctx, fullInstanceDelay)
	clear(c.tried)
	return !c.endIfExpired(ctx)
}

// waitForModel asks the planner for instances with the model loaded; false if the request has ended.
func (c *call) waitForModel(ctx context.Context) bool {
	remaining := time.Until(c.waitDeadline()) - servingReserve
	if remaining <= 0 {
		c.refuse(http.StatusServiceUnavailable, "no instance has the model in time", defaultRetryAfter)
		return false
	}
	askedAt := time.Now()
	found, err := c.server.finder.RequestInstances(ctx, peers.InstanceRequest{Service: c.service, Target: c.request.Target, Version: c.version, Account: c.accountName(), Priority: c.priority(), Wait: remaining, Answer: plannerAskInterval, Avoid: c.unusableInstances()})
	if c.endIfExpired(ctx) {
		return false
	}
	var noPlanner *peers.NoPlannerError
	if err != nil {
		c.plannerlessTime += time.Since(askedAt)
		if c.plannerlessTime > maxPlannerlessTime {
			c.refuse(http.StatusServiceUnavailable, "no planner: "+err.Error(), defaultRetryAfter)
			return false
		}
		if !errors.As(err, &noPlanner) {
			c.server.log.Warnw("planner call failed; asking again after a delay", "Request", c.request.ID, "Error", err.Error())
		}
		sleep.For(ctx, plannerRetryDelay)
		return !c.endIfExpired(ctx)
	}
	if found.Waiting {
		clear(c.overLimit)
		return true
	}
	if len(found.Instances) == 0 {
		if wait, ok := c.limitRetryAfter(); ok {
			found.Reason, found.ReadyIn = "instances are at their limits", wait
		}
		c.refuse(http.StatusServiceUnavailable, "model not loaded: "+found.Reason, max(defaultRetryAfter, found.ReadyIn))
		return false
	}
	if c.bound {
		// The planner has named the holders of one version only.
		c.server.tracker.addHolders(c.request.Target, found.Instances)
	} else {
		c.server.tracker.setHolders(c.request.Target, append(found.Instances, c.overLimitHolders()...))
	}
	clear(c.tried)
	clear(c.overLimit)
	if c.bound && len(c.candidates()) == 0 {
		c.refuse(http.StatusServiceUnavailable, "no instance of the version that began the stream has the model", 0)
		return false
	}
	if !slices.ContainsFunc(c.candidates(), func(in site.Instance) bool { return slices.Contains(found.Instances, in.InstanceKey) }) {
		// The planner knows instances that the view doesn't have yet.
		sleep.For(ctx, fullInstanceDelay)
	}
	return !c.endIfExpired(ctx)
}

// overLimitHolders returns the instances that hold the model but would take the request too late.
func (c *call) overLimitHolders() []site.InstanceKey {
	var out []site.InstanceKey
	for k := range c.overLimit {
		out = append(out, k)
	}
	return out
}

// unusableInstances returns the instances that this request has tried, or that would take it too late, or that are excluded or lacked the model recently.
func (c *call) unusableInstances() []site.InstanceKey {
	list := c.state.Serving(c.service)
	out := c.server.tracker.unusable(list, c.request.Target)
	for _, in := range list {
		if (c.tried[in.InstanceKey] || c.isOverLimit(in.InstanceKey)) && !slices.Contains(out, in.InstanceKey) {
			out = append(out, in.InstanceKey)
		}
	}
	return out
}

// patienceEnd returns when the caller is expected to abandon a stream without a first event, at the latest the deadline.
func (c *call) patienceEnd() time.Time {
	if c.route.Kind != site.Streaming || c.route.ResponseGoal <= 0 {
		return c.deadline
	}
	givesUpAt := c.arrivedAt.Add(c.route.Patience())
	if givesUpAt.Before(c.deadline) {
		return givesUpAt
	}
	return c.deadline
}

// waitDeadline returns when the wait for a model ends: when the caller's
// patience does, or earlier if the front is stopping, so that it can still serve.
func (c *call) waitDeadline() time.Time {
	until := c.patienceEnd()
	if stop := c.server.stopTime.Load(); stop != nil && stop.Add(-stoppingReserve).Before(until) {
		return stop.Add(-stoppingReserve)
	}
	return until
}

// stoppingReserve is the part of a stopping front's remaining time that is reserved for serving requests that have waited.
const stoppingReserve = 2 * time.Second
