package follow

import "time"

// IsIsolated reports whether the store is away and no other front answers either, so that the others
// may have learned of changes that this front has not.
func (f *Follower) IsIsolated() bool {
	fronts := len(f.State().Fronts)
	f.mu.Lock()
	defer f.mu.Unlock()
	o := &f.outage
	return !o.since.IsZero() && fronts > 1 && time.Since(o.since) > peerAnswerHold && time.Since(o.peerAnsweredAt) > peerAnswerHold
}
