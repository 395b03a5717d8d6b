package relay

import (
	"net/http"
	"time"

	"foxtailcroft/internal/core/site"
)

// note logs a decision on the way of a request.
func (c *call) note(what string, in site.Instance, reason string) {
	c.server.log.Infow(what, "Request", c.ask.ID, "Instance", in.ID, "Born", in.Born, "Announced", in.Seen,
		"Sends", c.sends, "Unsent", c.unsent, "Reason", reason, "Ms", time.Since(c.arrived).Milliseconds())
}

// logEnd logs how a request ended, with what decided it.
func (c *call) logEnd() {
	var route site.Route
	if c.route != nil {
		route = *c.route
	}
	version := int64(0)
	if c.state.Document != nil {
		version = c.state.Document.Version
	}
	events, gap := 0, time.Duration(0)
	if c.stream != nil {
		events, gap = c.stream.events, c.stream.gap
	}
	took := time.Since(c.arrived)
	c.server.meters.GetOrCreateCounter(`foxtailcroft_requests_total{outcome="` + c.outcome + `"}`).Inc()
	c.server.meters.GetOrCreateHistogram("foxtailcroft_request_seconds").Update(took.Seconds())
	log := c.server.log.Infow
	if c.outcome != outcomeAnswered && c.status != http.StatusNotFound {
		log = c.server.log.Warnw
	}
	log("request", "Request", c.ask.ID, "Route", route.Name, "Kind", string(route.Kind), "Model", c.ask.Target.Model, "Adapter", c.ask.Target.Name,
		"Prompt", c.ask.PromptTokens, "Instance", c.instance, "Sends", c.sends, "Unsent", c.unsent, "Outcome", c.outcome, "Status", c.status,
		"Reason", c.reason, "HeldMs", c.held.Milliseconds(), "FirstMs", c.first.Milliseconds(), "Ms", took.Milliseconds(), "Events", events, "GapMs", gap.Milliseconds(),
		"MissingMs", c.chosen.Missing.Milliseconds(), "ReadingMs", c.chosen.Reading.Milliseconds(), "InFlight", c.chosen.InFlight, "Reported", c.chosen.Reported, "ReportedAgeMs", c.chosen.reportAge.Milliseconds(), "Of", c.chosen.of,
		"GoalMs", route.Goal.Milliseconds(), "MaxGapMs", route.MaxGap.Milliseconds(),
		"Patience", c.ask.Patience.Milliseconds(), "Version", version, "Revision", c.state.Revision)
}
