package proxy

import (
	"math"
	"net/http"
	"time"

	"foxtailcroft/internal/core/site"
)

// logAttempt logs an attempt that did not succeed at an instance, and why.
func (c *call) logAttempt(event string, in site.Instance, reason string) {
	c.server.log.Infow(event, "Request", c.request.ID, "Instance", in.ID, "Born", in.Born, "Announced", in.Revision,
		"Sends", c.attempts.PossibleRuns(), "Unsent", c.attempts.NotRunAttempts(), "InstanceStatus", c.instanceStatus, "Basis", string(c.attempts.Last()), "AnswerBegan", c.answerBegan, "Parts", c.loggedParts(), "Reason", reason, "Ms", time.Since(c.arrivedAt).Milliseconds())
}

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the request's first prompt parts.
func (c *call) loggedParts() []string {
	var out []string
	for _, p := range c.request.PromptParts[:min(maxLoggedParts, len(c.request.PromptParts))] {
		out = append(out, p.ID)
	}
	return out
}

// logRequest logs and counts a request that has ended, with the inputs of its last instance choice.
func (c *call) logRequest() {
	var route site.Route
	if c.route != nil {
		route = *c.route
	}
	version := int64(0)
	if c.state.Document != nil {
		version = c.state.Document.Version
	}
	events, longestPause := 0, time.Duration(0)
	if c.stream != nil {
		events, longestPause = c.stream.eventCount, c.stream.longestPause
	}
	took := time.Since(c.arrivedAt)
	c.server.meters.GetOrCreateCounter(`foxtailcroft_requests_total{outcome="` + c.outcome + `"}`).Inc()
	if c.server.dialect.PromisesNotRun(c.status) {
		c.server.meters.GetOrCreateCounter(`foxtailcroft_promises_not_run_total{basis="` + string(c.attempts.Last()) + `"}`).Inc()
	}
	c.server.meters.GetOrCreateHistogram("foxtailcroft_request_seconds").Update(took.Seconds())
	if len(c.request.PartHashes) > 0 && c.attempts.PossibleRuns() > 0 {
		c.server.meters.GetOrCreateCounter("foxtailcroft_prompt_tokens_total").Add(c.request.PromptTokens)
		c.server.meters.GetOrCreateCounter("foxtailcroft_saved_prompt_tokens_total").Add(c.lastChoice.savedTokens)
	}
	log := c.server.log.Infow
	if c.outcome != outcomeAnswered && c.status != http.StatusNotFound {
		log = c.server.log.Warnw
	}
	log("request", "Request", c.request.ID, "Route", route.Name, "Account", c.accountName(), "Kind", string(route.Kind), "Model", c.request.Target.Model, "Adapter", c.request.Target.Name,
		"Prompt", c.request.PromptTokens, "Parts", c.loggedParts(), "Instance", c.instanceID, "Sends", c.attempts.PossibleRuns(), "Unsent", c.attempts.NotRunAttempts(), "Basis", string(c.attempts.Last()), "InstanceStatus", c.instanceStatus, "Outcome", c.outcome, "Status", c.status,
		"Reason", c.reason, "RetryAfter", c.retryAfter.Round(time.Millisecond).Seconds(), "HeldMs", c.waited.Milliseconds(), "FirstMs", c.firstOutputAfter.Milliseconds(), "Ms", took.Milliseconds(), "Events", events, "GapMs", longestPause.Milliseconds(),
		"MissingMs", c.lastChoice.MissingPrefill.Milliseconds(), "ReadingMs", c.lastChoice.PendingPrefill.Milliseconds(), "SavedTokens", c.lastChoice.savedTokens, "InFlight", c.lastChoice.InFlight, "Slowdown", math.Round(100*c.lastChoice.Slowdown)/100, "Reported", c.lastChoice.Reported, "ReportedAgeMs", c.lastChoice.reportedLoadAge.Milliseconds(), "Of", c.lastChoice.candidateCount, "Limit", c.lastChoice.limit,
		"GoalMs", route.ResponseGoal.Milliseconds(), "MaxGapMs", route.MaxTokenGap.Milliseconds(),
		"Patience", c.request.Timeout.Milliseconds(), "Version", version, "Revision", c.state.Revision)
}
