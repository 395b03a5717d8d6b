package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/choose"
)

// choice is an instance with what decided for it.
type choice struct {
	site.Instance
	choose.Candidate
	// of is the number of instances that could have been chosen.
	of int
	// reportAge is how old the reported load is, 0 if there is none.
	reportAge time.Duration
}

// pick chooses among instances; ok is false if none is left.
func (t *tracker) pick(list []site.Instance, domain string, r *site.Request, maxGap time.Duration, connected func(conns.Target) bool) (c choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list = slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool {
		s := t.of(in.Key)
		return now.Sub(s.absent[r.Target]) < absentFor || now.Before(s.excludedUntil)
	})
	var candidates []choose.Candidate
	for _, in := range list {
		s := t.of(in.Key)
		c := choose.Candidate{
			ID: in.ID, Near: in.Domain == domain, Connected: connected(conns.Target{Key: in.Key, Address: in.Address}), Slots: in.Slots, InFlight: s.total, Reading: s.reading,
			Missing: t.speeds[r.Target.Model].Time(s.missing(r)), LongRead: choose.LongRead(maxGap), Failing: s.failed(now), Answers: s.answers,
			PauseRisk: choose.Risk(s.pauses.Value(now), maxGap),
		}
		if now.Sub(s.reportedAt) < reportedFor {
			c.Reported = s.reported
		}
		candidates = append(candidates, c)
	}
	i := choose.Best(candidates, rand.Float64)
	if i < 0 {
		return choice{}, false
	}
	chosen := choice{Instance: list[i], Candidate: candidates[i], of: len(list)}
	if s := t.of(list[i].Key); !s.reportedAt.IsZero() {
		chosen.reportAge = now.Sub(s.reportedAt)
	}
	return chosen, true
}

// missing returns the tokens of a prompt that the instance has not read for the same model and adapter.
func (s *seen) missing(r *site.Request) int {
	total := r.PromptTokens
	for _, p := range r.Parts {
		if _, ok := s.parts[partKey(r.Target, p)]; !ok {
			break
		}
		total -= p.Tokens
	}
	return max(0, total)
}

func partKey(t site.Adapter, p site.Part) string {
	return t.Model + "/" + t.Name + "/" + p.ID
}
