package proxy

import (
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/kept"
	"foxtailcroft/internal/policy/reuse"
	"foxtailcroft/internal/policy/score"
)

// PromptCaches tells what is known of the prompt parts that instances keep.
type PromptCaches interface {
	// Observe notes the parts of a prompt, in order.
	Observe(parts []kept.Hash)
	// State appends what is known of prompt parts at an instance to out, and returns it with the instance's memory.
	State(out []kept.PartState, k site.InstanceKey, parts []kept.Hash) ([]kept.PartState, reuse.Memory)
}

// hashParts sets the hashes of the request's prompt parts if the instances of its service publish
// the events of their prompt caches.
func (c *call) hashParts() {
	svc := c.state.Document.Services[c.service]
	if len(c.request.PromptParts) == 0 || svc == nil || svc.Engine == nil || svc.Engine.MaxKeptEventCalls <= 0 || c.server.tracker.caches == nil {
		return
	}
	c.request.PartHashes = make([]uint64, len(c.request.PromptParts))
	for i, p := range c.request.PromptParts {
		c.request.PartHashes[i] = kept.HashOf(c.request.Target, p.ID)
	}
	c.server.tracker.caches.Observe(c.request.PartHashes)
}

// missingPrefill returns the expected prefill time of a request's prompt at an instance and, if it
// is uncertain, the possible ones; the caller holds the lock.
func (t *instanceTracker) missingPrefill(k site.InstanceKey, s *instanceStats, r *site.RequestInfo, now time.Time) (time.Duration, []score.Prefill) {
	speed := t.prefillSpeeds[r.Target.Model]
	if len(r.PartHashes) == 0 {
		return speed.Duration(s.uncachedTokens(r)), nil
	}
	outcomes := t.savings(k, s, r, now)
	expected := speed.Duration(max(0, r.PromptTokens-reuse.Expected(outcomes)))
	if len(outcomes) == 1 {
		return expected, nil
	}
	prefills := make([]score.Prefill, len(outcomes))
	for i, o := range outcomes {
		prefills[i] = score.Prefill{Probability: o.Probability, Time: speed.Duration(max(0, r.PromptTokens-o.SavedTokens))}
	}
	return expected, prefills
}

// missingTokens returns the expected number of prompt tokens that an instance has to read; the
// caller holds the lock.
func (t *instanceTracker) missingTokens(k site.InstanceKey, s *instanceStats, r *site.RequestInfo, now time.Time) int {
	if len(r.PartHashes) == 0 {
		return s.uncachedTokens(r)
	}
	return max(0, r.PromptTokens-reuse.Expected(t.savings(k, s, r, now)))
}

// savings returns the possible savings of a request's prompt at an instance, from the index of its
// prompt cache and, for what that lacks, from this front's own requests; the caller holds the lock.
func (t *instanceTracker) savings(k site.InstanceKey, s *instanceStats, r *site.RequestInfo, now time.Time) []reuse.Outcome {
	states, memory := t.caches.State(t.partStates[:0], k, r.PartHashes)
	parts := t.keptParts[:0]
	for i, p := range r.PromptParts {
		part := reuse.Part{Tokens: p.Tokens}
		sentAt, sent := s.promptParts[promptPartKey(r.Target, p)]
		switch known := states[i]; {
		case known.Tokens > 0:
			part.Kept, part.Age = known.Tokens, now.Sub(later(known.At, sentAt))
		case sent && sentAt.After(known.At):
			part.Kept, part.Age = p.Tokens, now.Sub(sentAt)
		}
		parts = append(parts, part)
	}
	t.partStates, t.keptParts = states, parts
	return reuse.Outcomes(parts, memory, s.pendingPrefill)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
