package proxy

import (
	"context"
	"net/http"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/crash"
)

// endIfBlocked ends the request if a part of its prompt crashes instances, and reports whether
// it did. A request that has not been sent may go on as the trial of its only blocked part.
func (c *call) endIfBlocked(ctx context.Context) bool {
	blocked := c.server.crashes.Blocked(c.service, c.request.PromptParts)
	if len(blocked) == 0 {
		return false
	}
	if len(blocked) == 1 && c.attempts.IsNotRun() && c.isTrial(ctx, blocked[0].ID) {
		return false
	}
	c.server.meters.GetOrCreateCounter("foxtailcroft_blocked_requests_total").Inc()
	c.refuse(http.StatusServiceUnavailable, "prompt part "+blocked[0].ID+" crashes instances", blocked[0].Left)
	return true
}

// isTrial reports whether the request is the trial of a blocked part, and starts one if it is due.
func (c *call) isTrial(ctx context.Context, part string) bool {
	if c.trial != nil {
		return c.trial.part == part
	}
	end, ok := c.server.crashes.StartTrial(ctx, crash.TrialRequest{
		Service: c.service, Part: part, Prompt: c.request.PromptParts, Ready: len(c.untried(c.candidates())) > 0,
	})
	if ok {
		c.trial = &trial{part: part, end: end}
	}
	return ok
}

// trial is the trial of a blocked prompt part.
type trial struct {
	part string
	end  func(broken bool)
	// broken is true once an attempt has broken off.
	broken bool
}

// endTrial ends the request's trial, if it has one.
func (c *call) endTrial() {
	if c.trial != nil {
		c.trial.end(c.trial.broken)
		c.trial = nil
	}
}

// recordAnswer records that the answer is under way or complete.
func (c *call) recordAnswer() {
	c.server.crashes.RecordAnswer(c.service, c.request.PromptParts)
	c.endTrial()
}

// recordBroken records an attempt that broke off before its answer was under way; started is
// true if the head of the answer had arrived.
func (c *call) recordBroken(in site.Instance, started bool) {
	if c.trial != nil {
		c.trial.broken = true
	}
	c.server.crashes.RecordBroken(in, c.request.PromptParts, started)
}
