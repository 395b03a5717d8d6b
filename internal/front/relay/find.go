package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

const (
	// serviceTime is kept of the time left for serving once a model is ready.
	serviceTime = 500 * time.Millisecond
	// plannerPause is the wait for a planner when there is none, or it cannot be reached.
	plannerPause = 100 * time.Millisecond
	// askAgain is how often a waiting request asks the planner anew.
	askAgain = time.Second
	// leastPatience, goalPatience and gapPatience say when callers abandon a
	// stream without events: the longest of a time, a multiple of the route's
	// goal and one of its longest pause, from the callers' published behaviour.
	leastPatience = 2 * time.Second
	goalPatience  = 4
	gapPatience   = 8
	// plainWait is how long a request to a plain service waits for an instance.
	plainWait = 300 * time.Millisecond
	// plannerWait is how long a request goes without a planner at the most: a
	// lost one is replaced within its lease and the time to hear of it.
	plannerWait = 4 * time.Second
)

// find returns the instance to try next; false if the request has ended.
func (c *call) find(ctx context.Context) (site.Instance, bool) {
	if c.ask.Target.Model != "" && c.sends+c.unsent == 0 {
		c.server.track.ask(c.ask.Target)
	}
	for {
		c.state = c.server.sites.State()
		list := c.untried(c.candidates())
		if chosen, ok := c.server.track.pick(list, c.server.set.Node.Domain, &c.ask, c.route.MaxGap, c.server.pool.Connected); ok {
			c.chosen = chosen
			return chosen.Instance, true
		}
		if !c.wait(ctx) {
			return site.Instance{}, false
		}
	}
}

// candidates are the instances that could serve.
func (c *call) candidates() []site.Instance {
	list := c.state.Serving(c.service)
	if !c.managed() {
		return list
	}
	return c.server.track.holding(list, c.ask.Target)
}

// managed reports whether the request names a model that must be loaded.
func (c *call) managed() bool {
	svc := c.state.Document.Services[c.service]
	return c.ask.Target.Model != "" && svc != nil && svc.Engine != nil
}

func (c *call) untried(list []site.Instance) []site.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool { return c.tried[in.Key] })
}

// wait waits for an instance to come up; false if the request has ended.
func (c *call) wait(ctx context.Context) bool {
	began := time.Now()
	defer func() { c.held += time.Since(began) }()
	if c.managed() {
		return c.waitForModel(ctx)
	}
	if c.held > plainWait {
		c.none("no instance to try", soonRetry)
		return false
	}
	// Those that are left have rejected the request or a connection; they may have room in a moment.
	pause.For(ctx, fullPause)
	clear(c.tried)
	return !c.expired(ctx)
}

// none ends a request for which there is no instance.
func (c *call) none(reason string, after time.Duration) {
	if c.sends > 0 {
		c.fail(http.StatusBadGateway, reason)
		return
	}
	c.refuse(http.StatusServiceUnavailable, reason, after)
}

// waitForModel asks the planner for an instance with the model.
func (c *call) waitForModel(ctx context.Context) bool {
	left := time.Until(c.waitsUntil()) - serviceTime
	if left <= 0 {
		c.none("no instance has the model in time", soonRetry)
		return false
	}
	asked := time.Now()
	found, err := c.server.finder.Want(ctx, peers.Want{Service: c.service, Target: c.ask.Target, Wait: left, Answer: askAgain, Avoid: c.avoid()})
	if c.expired(ctx) {
		return false
	}
	var none *peers.NoPlanner
	if err != nil {
		c.planless += time.Since(asked)
		if c.planless > plannerWait {
			c.none("no planner: "+err.Error(), soonRetry)
			return false
		}
		if !errors.As(err, &none) {
			c.server.log.Warnw("planner not reached", "Request", c.ask.ID, "Error", err.Error())
		}
		pause.For(ctx, plannerPause)
		return !c.expired(ctx)
	}
	if found.Waiting {
		return true
	}
	if len(found.Instances) == 0 {
		c.none("model not loaded: "+found.Reason, max(soonRetry, found.ReadyIn))
		return false
	}
	c.server.track.place(c.ask.Target, found.Instances)
	clear(c.tried)
	if len(c.candidates()) == 0 {
		pause.For(ctx, fullPause)
	}
	return !c.expired(ctx)
}

// avoid returns the instances that this request or others could not use a moment ago.
func (c *call) avoid() []site.Key {
	list := c.state.Serving(c.service)
	out := c.server.track.unusable(list, c.ask.Target)
	for _, in := range list {
		if c.tried[in.Key] && !slices.Contains(out, in.Key) {
			out = append(out, in.Key)
		}
	}
	return out
}

// patience returns when the caller gives up a stream without a first event.
func (c *call) patience() time.Time {
	if c.route.Kind != site.Streaming || c.route.Goal <= 0 {
		return c.end
	}
	at := c.arrived.Add(max(leastPatience, goalPatience*c.route.Goal, gapPatience*c.route.MaxGap))
	if at.Before(c.end) {
		return at
	}
	return c.end
}

// waitsUntil returns when the wait for a model ends: with the caller's
// patience, or while a front that stops still has time to serve.
func (c *call) waitsUntil() time.Time {
	until := c.patience()
	if stop := c.server.stopsAt.Load(); stop != nil && stop.Add(-stopMargin).Before(until) {
		return stop.Add(-stopMargin)
	}
	return until
}

// stopMargin is kept of a stopping front's time for serving a request that has waited.
const stopMargin = 2 * time.Second
