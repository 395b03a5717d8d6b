package follow

import (
	"sync/atomic"
	"time"

	"foxtailcroft/internal/plat/store"
)

// completeness is the newest moment as of which a state has all keys but the document: the sending of a call
// that was answered, as the time since boot; 0 if there is none. An answer may have waited for the process.
type completeness struct {
	at atomic.Int64
}

// advance records a moment.
func (c *completeness) advance(at time.Duration) {
	for {
		known := c.at.Load()
		if int64(at) <= known || c.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// before returns how long before a time the moment is, nil if there is none.
func (c *completeness) before(t time.Duration) *time.Duration {
	at := c.at.Load()
	if at == 0 {
		return nil
	}
	age := t - time.Duration(at)
	return &age
}

// recordComplete records that an answer at a revision, which the state has, was sent for at a time since boot, 0
// if that is unknown.
func (f *Follower) recordComplete(sent time.Duration, revision int64) {
	if sent > 0 && store.EraOf(revision) == store.EraOf(f.State().Revision) {
		f.complete.advance(sent)
	}
}

// adoptComplete records the statement of another front, whose view the state has, that its own was complete a
// time before it was asked; nil if it states nothing.
func (f *Follower) adoptComplete(asked time.Duration, age *time.Duration) {
	if age != nil && asked > *age {
		f.complete.advance(min(asked-*age, f.proofs.SinceBoot()))
	}
}

// CompleteAge returns the age of the moment as of which a state that is loaded afterwards has all keys but the
// document; false if there is none.
func (f *Follower) CompleteAge() (time.Duration, bool) {
	age := f.complete.before(f.proofs.SinceBoot())
	if age == nil {
		return 0, false
	}
	return *age, true
}

// IsOutdated reports whether a state that is loaded afterwards may lack keys that other fronts have known for
// maxAge. While the store is away, those have nothing newer that answer.
func (f *Follower) IsOutdated(maxAge time.Duration) bool {
	if age, ok := f.CompleteAge(); ok && age <= maxAge {
		return false
	}
	fronts := len(f.State().Fronts)
	f.mu.Lock()
	defer f.mu.Unlock()
	o := &f.outage
	return o.since.IsZero() || fronts > 1 && (o.peerAsked == 0 || f.proofs.SinceBoot()-o.peerAsked > peerAnswerHold)
}
