package crash

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

const (
	// trialPrefix is the prefix of the trials of blocked prompt parts.
	trialPrefix = follow.SystemPrefix + "trials/"
	// trialInterval is the least time between the end of a trial that proved nothing and the next one.
	trialInterval = 500 * time.Millisecond
	// trialTimeout is the time after which a trial without an end no longer prevents another one.
	trialTimeout = 10 * time.Second
	// trialSpreadPerFront is the span, per known front, over which fronts spread their claims of a trial.
	trialSpreadPerFront = 30 * time.Millisecond
	// unsuitedTrialDelay is how long a trial waits for a request that an instance can take now, and
	// without any of the parts that may be the cause instead; then any request will do.
	unsuitedTrialDelay = time.Second
	// trialTime is the expected duration of a trial.
	trialTime = time.Second
)

// trial is the stored state of the trials of a blocked prompt part: single requests that show
// whether the part still crashes instances.
type trial struct {
	Service string
	Part    string
	// Run is the run of the front whose request is under way, empty if there is none.
	Run string
	// Failed counts the trials that broke off.
	Failed int
}

// trialClaim is a stored trial with its key's revision, 0 if there is none yet.
type trialClaim struct {
	trial
	revision int64
}

// trialKey returns the key of the trials of a part.
func trialKey(p blame.Part) string {
	return trialPrefix + partKey(p)
}

// trialPlan tells when a blocked part may be tried next.
type trialPlan struct {
	at    time.Time
	claim trialClaim
	// claimedAt is when this front first saw the claim.
	claimedAt time.Time
}

// planTrial returns the plan for a blocked part; the caller holds the lock.
func (w *Watcher) planTrial(p blame.Part, e *evidence) trialPlan {
	claim, newest := e.trials[p], e.newest[p]
	if claim.Run != "" && newest.Revision > claim.revision {
		// The trial, or something else meanwhile, has crashed an instance.
		claim.Failed++
	}
	plan := trialPlan{claim: claim, at: w.firstSeen[newest.Key].Add(blame.TrialDelay(claim.Failed))}
	if claim.revision > 0 {
		plan.claimedAt = w.firstSeen[trialKey(p)]
		if next := plan.claimedAt.Add(trialInterval); next.After(plan.at) {
			plan.at = next
		}
	}
	spread := trialSpreadPerFront * time.Duration(len(w.site.State().Fronts))
	plan.at = plan.at.Add(rand.N(spread + 1))
	return plan
}

// isClaimed reports whether a trial is under way at another front.
func (w *Watcher) isClaimed(plan trialPlan) bool {
	if plan.claim.Run == "" || plan.claim.Run == w.self.Run || time.Since(plan.claimedAt) > trialTimeout {
		return false
	}
	for _, f := range w.site.State().Fronts {
		if f.Run == plan.claim.Run {
			return true
		}
	}
	return false
}

// TrialRequest is a request that may show whether a blocked part of its prompt still crashes instances.
type TrialRequest struct {
	Service string
	// Part is the blocked part.
	Part   string
	Prompt []site.PromptPart
	// Ready is true if an instance can take the request now.
	Ready bool
}

// StartTrial reports whether a request may be sent although one part of its prompt is blocked, to
// show whether the part still crashes instances; only one front at a time sends one. end ends the
// trial and tells whether the attempt broke off.
func (w *Watcher) StartTrial(ctx context.Context, r TrialRequest) (end func(broken bool), ok bool) {
	p := blame.Part{Service: r.Service, ID: r.Part}
	plan, ok := w.beginTrial(p, r)
	if !ok {
		return nil, false
	}
	if !w.writeTrial(ctx, p, trial{Run: w.self.Run, Failed: plan.claim.Failed}, plan.claim.revision) {
		w.endTrial(p)
		return nil, false
	}
	w.log.Infow("trial of a blocked prompt part", "Service", p.Service, "PromptPart", p.ID, "FailedBefore", plan.claim.Failed)
	return func(broken bool) {
		result := trial{Failed: plan.claim.Failed}
		if broken {
			result.Failed++
		} else if _, blocked := w.verdict.Load().Blocked[p]; !blocked {
			result.Failed = 0
		}
		w.log.Infow("trial ended", "Service", p.Service, "PromptPart", p.ID, "Broken", broken, "Failed", result.Failed)
		w.group.Go(func() {
			defer w.endTrial(p)
			w.writeTrial(w.ctx, p, result, w.trialRevision(p))
		})
	}, true
}

// trialRevision returns the revision of a part's trials, in the store or, while it is away, as collected.
func (w *Watcher) trialRevision(p blame.Part) int64 {
	if !w.site.Unavailable(0) {
		return w.site.State().Keys[trialKey(p)].Revision
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[trialKey(p)].Revision
}

// beginTrial marks a part as being tried by this front; ok is false if a trial is not due or under
// way, or can't be claimed.
func (w *Watcher) beginTrial(p blame.Part, r TrialRequest) (plan trialPlan, ok bool) {
	if w.claims == nil && w.site.Unavailable(0) {
		return plan, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.verdict.Load()
	plan, ok = v.trials[p]
	due := plan.at
	if !r.Ready || slices.ContainsFunc(r.Prompt, func(other site.PromptPart) bool {
		return v.alternatives[p][blame.Part{Service: p.Service, ID: other.ID}]
	}) {
		due = due.Add(unsuitedTrialDelay)
	}
	if plan.claim.revision > collectedRevisions && !w.site.Unavailable(0) {
		plan = w.storedPlan(p, plan)
	}
	if !ok || time.Now().Before(due) || w.trying[p] || time.Since(w.lastClaim) < trialInterval || w.isClaimed(plan) {
		return plan, false
	}
	w.trying[p], w.lastClaim = true, time.Now()
	return plan, true
}

// storedPlan returns a plan with the claim that the store has, as the store decides again although
// what was collected while it was away still counts; the caller holds the lock.
func (w *Watcher) storedPlan(p blame.Part, collected trialPlan) trialPlan {
	kv := w.stored[trialKey(p)]
	plan := collected
	plan.claim = trialClaim{revision: kv.Revision}
	if len(kv.Value) > 0 && json.Unmarshal(kv.Value, &plan.claim.trial) == nil {
		plan.claimedAt = time.Now()
	}
	plan.claim.Failed = max(plan.claim.Failed, collected.claim.Failed)
	return plan
}

// endTrial allows this front to try a part again.
func (w *Watcher) endTrial(p blame.Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.trying, p)
}

// writeTrial writes the state of a part's trials if its key is at a revision; false if it failed.
func (w *Watcher) writeTrial(ctx context.Context, p blame.Part, t trial, revision int64) bool {
	t.Service, t.Part = p.Service, p.ID
	value, err := json.Marshal(t)
	if err != nil {
		return false
	}
	key := trialKey(p)
	if w.site.Unavailable(0) {
		return w.claimTrial(ctx, p, value, revision)
	}
	return w.put(ctx, store.Txn{If: []store.Compare{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: value}}})
}

// claimTrial claims a part's trial at the planner. Where that one isn't in reach either, one of the
// known fronts tries the part by itself.
func (w *Watcher) claimTrial(ctx context.Context, p blame.Part, value []byte, revision int64) bool {
	if w.claims == nil {
		return false
	}
	key := trialKey(p)
	w.mu.Lock()
	claim := peers.EvidenceClaim{Epoch: w.epoch, Evidence: peers.Evidence{Key: key, Value: value, Number: max(0, revision-collectedRevisions)}}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := w.claims.ClaimEvidence(ctx, claim)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil && !w.isFirst(p):
		return false
	case err != nil:
		newest := revision
		for _, kv := range w.keys {
			newest = max(newest, kv.Revision)
		}
		w.ownTrials[key] = store.KV{Key: key, Value: value, Revision: newest + 1}
	case !reply.Taken || w.epoch != claim.Epoch:
		return false
	default:
		w.collected[key] = store.KV{Key: key, Value: value, Revision: collectedRevisions + reply.Number}
	}
	w.update()
	return true
}

// forgetOwnTrials forgets the trials that were claimed neither at the store nor at the planner; the
// caller holds the lock.
func (w *Watcher) forgetOwnTrials() {
	if len(w.ownTrials) > 0 {
		clear(w.ownTrials)
		w.update()
	}
}

// isFirst reports whether this front is the one that tries a part if fronts can't agree.
func (w *Watcher) isFirst(p blame.Part) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(partKey(p) + "/" + name) }
	for name := range w.site.State().Fronts {
		if rank(name) < rank(w.self.Name) {
			return false
		}
	}
	return true
}

// Blocked returns the prompt parts for which a request must not be sent to instances of a service.
func (w *Watcher) Blocked(service string, prompt []site.PromptPart) []BlockedPart {
	v := w.verdict.Load()
	if len(v.Blocked) == 0 {
		return nil
	}
	var out []BlockedPart
	for _, p := range prompt {
		key := blame.Part{Service: service, ID: p.ID}
		if _, ok := v.Blocked[key]; ok {
			out = append(out, BlockedPart{ID: p.ID, Left: max(0, min(time.Until(v.until[key]), max(0, time.Until(v.trials[key].at))+trialTime))})
		}
	}
	return out
}

// BlockedPart is a prompt part that crashes instances.
type BlockedPart struct {
	ID string
	// Left is the time after which it may be released.
	Left time.Duration
}
