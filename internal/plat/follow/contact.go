package follow

import (
	"context"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/policy/retry"
)

const (
	// retryCheckInterval is the pause between checks whether the next call to a failing store is due.
	retryCheckInterval = 50 * time.Millisecond
	// peerAnswerHold is how long an answer of another front counts as contact with it.
	peerAnswerHold = 2 * time.Second
	// peerReachHold is how long another front counts as in contact with the store. It is longer than
	// the time between two answers to its watches.
	peerReachHold = 5 * time.Second
)

// Contact is what the other fronts that were asked have told of the store.
type Contact struct {
	// Answered is true if a front answered, and ReachAge is the least time since the store had answered
	// one of them when it was asked.
	Answered bool
	ReachAge time.Duration
	// CompleteAge is the least age of a view that was complete when its front was asked, and that is no newer
	// than the one that is asked for; nil if none was.
	CompleteAge *time.Duration
}

// Add adds the answer of a front that the store had answered some time before.
func (c *Contact) Add(reachAge time.Duration) {
	if !c.Answered || reachAge < c.ReachAge {
		c.Answered, c.ReachAge = true, reachAge
	}
}

// AddComplete adds the age of a view that the asking front has or gets.
func (c *Contact) AddComplete(age *time.Duration) {
	if age != nil && (c.CompleteAge == nil || *age < *c.CompleteAge) {
		c.CompleteAge = age
	}
}

// outage is the state of a front's calls to the store while it fails; Follower.mu guards it.
type outage struct {
	// since is the start of the current outage; zero while the store answers.
	since time.Time
	// failures counts the failed calls in a row, failedAt is when the last one failed, and fraction
	// the random part of the pause after it.
	failures int
	failedAt time.Time
	fraction float64
	// peerAnsweredAt is when another front last answered, and peerReachedAt when one last told that the
	// store had answered it after this front's last failure.
	peerAnsweredAt time.Time
	peerReachedAt  time.Time
	// peerAsked is the time since boot at which a question was sent that another front has answered.
	peerAsked time.Duration
}

// Unavailable reports whether the store is unavailable or recovered less than span ago.
func (f *Follower) Unavailable(span time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.outage.since.IsZero() || time.Since(f.recoveredAt) < span && !f.recoveredAt.IsZero()
}

// markUnavailable records a call that the store did not answer.
func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	o := &f.outage
	first := o.since.IsZero()
	if first {
		o.since = time.Now()
	}
	o.failures++
	o.failedAt, o.fraction = time.Now(), f.random()
	f.mu.Unlock()
	if first {
		f.log.Warnw("store away", "Error", err.Error())
	}
}

func (f *Follower) markAvailable() {
	f.confirmedAt.Store(time.Now().UnixNano())
	f.mu.Lock()
	since, failures := f.outage.since, f.outage.failures
	if !since.IsZero() {
		f.outage, f.recoveredAt = outage{}, time.Now()
	}
	f.mu.Unlock()
	if !since.IsZero() {
		f.log.Infow("store answers again", "After", time.Since(since).String(), "FailedCalls", failures)
	}
}

// recordContact records what other fronts told in answer to a question that was sent at a time, and at a time
// since boot. It shortens the pause that lasts if the store answers one of them again.
func (f *Follower) recordContact(asked time.Time, sent time.Duration, c Contact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := &f.outage
	if o.since.IsZero() || !c.Answered {
		return
	}
	now := time.Now()
	o.peerAnsweredAt, o.peerAsked = now, max(o.peerAsked, sent)
	if asked.Add(-c.ReachAge).After(o.failedAt) {
		o.peerReachedAt = now
	}
}

// retryWait returns the time until the next call to a store that fails is due.
func (f *Follower) retryWait() time.Duration {
	s, now := f.State(), time.Now()
	situation := retry.StoreOutage{Interval: storeRetryInterval, Fronts: len(s.Fronts)}
	if s.Document == nil {
		situation.Interval = startupRetryInterval
	}
	if f.proofs.Bound > 0 && s.usesAccounts() {
		situation.ProofBound, situation.HasProof = f.proofs.Bound, f.AdmitsKeys()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.outage
	situation.PeersAnswer = now.Sub(o.peerAnsweredAt) <= peerAnswerHold
	situation.PeersReach = now.Sub(o.peerReachedAt) <= peerReachHold
	return o.failedAt.Add(situation.Backoff().Delay(o.failures, o.fraction)).Sub(now)
}

// awaitRetry waits until the next call to a store that fails is due. What the pause depends on may
// change meanwhile.
func (f *Follower) awaitRetry(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.retryWait()
		if wait <= 0 {
			return
		}
		sleep.For(ctx, min(wait, retryCheckInterval))
	}
}

// probeStore reports whether the store is available. During an outage it reads
// one key, because a watch would show the recovery only with the next change.
func (f *Follower) probeStore(ctx context.Context) bool {
	if !f.Unavailable(0) {
		return true
	}
	if _, err := f.readDocument(ctx); err != nil {
		f.markUnavailable(err)
		return false
	}
	f.markAvailable()
	return true
}

// RunPeerPoll polls other fronts for newer views while the store is unavailable or no document is known.
func (f *Follower) RunPeerPoll(ctx context.Context) {
	for sleep.For(ctx, peerPollInterval) {
		if f.peers == nil || !f.Unavailable(0) && f.State().Document != nil {
			continue
		}
		asked, sent := time.Now(), f.proofs.SinceBoot()
		view, ok := f.peers.FetchNewer(ctx, f.State().Revision)
		f.recordContact(asked, sent, view.Contact)
		if ok {
			f.log.Infow("applying a newer view from another front", "Revision", view.Revision, "Stable", view.Stable)
			f.applyView(view)
		}
		f.adoptComplete(sent, view.Contact.CompleteAge)
	}
}
