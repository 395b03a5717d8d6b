package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/score"
	"foxtailcroft/internal/policy/split"
)

// choice is a chosen instance with the estimates that led to the choice.
type choice struct {
	site.Instance
	score.Candidate
	// candidateCount is the number of instances that could have been chosen.
	candidateCount int
	// reportedLoadAge is the age of the instance's newest load report, 0 if there is none.
	reportedLoadAge time.Duration
	// inquiries are the instances to ask for their slowdowns before the request is sent.
	inquiries []site.Instance
	// options are all the instances that could have been chosen.
	options options
	// limit is the number of requests a second that the instance takes from all fronts, 0 for any.
	limit float64
	// savedTokens is the expected number of tokens of the prompt that need not be read; it is set where prompt caches are indexed.
	savedTokens int
	// lead is how much longer the next best instance is expected to take, negative if there is none;
	// it is set where limit is.
	lead time.Duration
}

// options are the instances that could be chosen for a request, with the estimates for each.
type options struct {
	list       []site.Instance
	candidates []score.Candidate
}

// pickInstance returns the instance of the list with the lowest expected cost; ok
// is false if all are excluded for now or lack the model.
func (t *instanceTracker) pickInstance(list []site.Instance, domain string, r *site.RequestInfo, maxGap time.Duration, connected func(conns.Target) bool) (c choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list = slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool {
		s := t.statsOf(in.InstanceKey)
		return now.Sub(s.absentAt[r.Target]) < absenceValidity || now.Before(s.excludedUntil)
	})
	others := t.leftToOthers(list, r, maxGap)
	var candidates []score.Candidate
	for i, in := range list {
		s := t.statsOf(in.InstanceKey)
		c := score.Candidate{
			ID: in.ID, SameDomain: in.Domain == domain, Connected: connected(conns.Target{InstanceKey: in.InstanceKey, Address: in.Address}), Slots: in.ConcurrentRequests, InFlight: s.totalInFlight, PendingPrefill: s.pendingPrefill,
			LongPrefill: score.LongPrefill(maxGap), FailureShare: s.currentFailureShare(now), TimeToAnswer: s.meanAnswerTime,
			PauseRisk: score.PauseRisk(s.longestPause.Value(now), maxGap),
		}
		c.MissingPrefill, c.Prefills = t.missingPrefill(in.InstanceKey, s, r, now)
		if c.Slowdown = s.currentSlowdown(now); c.Slowdown > 0 {
			c.PauseRisk = score.PauseRisk(time.Duration(c.Slowdown*float64(s.longestPause.Value(now))), maxGap)
		}
		if s.limit > 0 {
			c.LimitWait = max(0, s.limitFreeAt.Sub(now))
		}
		c.OtherPrompts = others != nil && others[i]
		if now.Sub(s.reportedAt) < reportedLoadValidity {
			c.Reported = s.reportedRequests
		}
		candidates = append(candidates, c)
	}
	i := score.Best(candidates, rand.Float64)
	if i < 0 {
		return choice{}, false
	}
	chosen := choice{Instance: list[i], Candidate: candidates[i], candidateCount: len(list), options: options{list, candidates}, inquiries: t.slowdownInquiries(list, candidates, now)}
	s := t.statsOf(list[i].InstanceKey)
	if s.limit > 0 {
		chosen.limit, chosen.lead = s.limit, lead(candidates, i)
	}
	if len(r.PartHashes) > 0 {
		chosen.savedTokens = r.PromptTokens - t.missingTokens(chosen.InstanceKey, s, r, now)
	}
	if !s.reportedAt.IsZero() {
		chosen.reportedLoadAge = now.Sub(s.reportedAt)
	}
	return chosen, true
}

// lead returns how much longer the best of the other candidates is expected to take than the
// candidate with an index, negative if there are no others.
func lead(candidates []score.Candidate, index int) time.Duration {
	others := slices.Delete(slices.Clone(candidates), index, index+1)
	next := score.Best(others, func() float64 { return 0 })
	if next < 0 {
		return -1
	}
	return max(0, time.Duration((others[next].CostMs()-candidates[index].CostMs())*float64(time.Millisecond)))
}

// leftToOthers returns for each instance whether it is left to prompts of another length
// than the request's, nil if none is; the caller holds the lock. Adapters are placed
// accordingly by the planner.
func (t *instanceTracker) leftToOthers(list []site.Instance, r *site.RequestInfo, maxGap time.Duration) []bool {
	if t.longShare <= 0 || maxGap <= 0 || r.Target.Model == "" || r.Target.Name != "" {
		return nil
	}
	ids := make([]string, len(list))
	for i, in := range list {
		ids[i] = in.ID
	}
	out := split.ForLong(r.Target.Model, ids, t.longShare)
	if !t.isLongPrompt(r, maxGap) {
		return out
	}
	for i := range out {
		out[i] = !out[i]
	}
	return out
}

// isLongPrompt reports whether reading the whole prompt takes long beside streams that
// may pause for maxGap; the caller holds the lock.
func (t *instanceTracker) isLongPrompt(r *site.RequestInfo, maxGap time.Duration) bool {
	return t.prefillSpeeds[r.Target.Model].Duration(r.PromptTokens) > score.LongPrompt(maxGap)
}

// uncachedTokens returns the number of prompt tokens after the leading prompt parts
// that the instance has read before for the same model and adapter.
func (s *instanceStats) uncachedTokens(r *site.RequestInfo) int {
	total := r.PromptTokens
	for _, p := range r.PromptParts {
		if _, ok := s.promptParts[promptPartKey(r.Target, p)]; !ok {
			break
		}
		total -= p.Tokens
	}
	return max(0, total)
}

// promptPartKey returns the key of a prompt part read for a model and adapter.
func promptPartKey(t site.Target, p site.PromptPart) string {
	return t.Model + "/" + t.Name + "/" + p.ID
}
