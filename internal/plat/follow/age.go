package follow

import "time"

// ConfirmedAge returns the time since the store last confirmed the view, directly or through
// another front; without any confirmation it is longer than any limit.
func (f *Follower) ConfirmedAge() time.Duration {
	return time.Since(time.Unix(0, f.confirmedAt.Load()))
}
