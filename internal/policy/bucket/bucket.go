package bucket

import "time"

// Limit is a rate in tokens a second and the most tokens that a bucket holds.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Share returns an equal share of the limit for one of n holders. Its burst is at least one token,
// because a smaller bucket would never admit a request.
func (l Limit) Share(n int) Limit {
	share := float64(max(1, n))
	return Limit{PerSecond: l.PerSecond / share, Burst: max(1, l.Burst/share)}
}

// Bucket is a bucket of tokens.
type Bucket struct {
	tokens float64
	at     time.Time
}

// New returns a full bucket.
func New(l Limit, now time.Time) *Bucket {
	return &Bucket{tokens: l.Burst, at: now}
}

// Take takes one token. If there is none it returns the time until there will be one, and false.
func (b *Bucket) Take(l Limit, now time.Time) (time.Duration, bool) {
	if now.After(b.at) {
		b.tokens += now.Sub(b.at).Seconds() * l.PerSecond
		b.at = now
	}
	b.tokens = min(b.tokens, l.Burst)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return waitFor(1-b.tokens, l.PerSecond), false
}

// maxWait bounds the wait of a rate so low that the exact one exceeds a time.Duration.
const maxWait = 24 * time.Hour

// waitFor returns the time in which a rate yields the tokens, rounded up so that they are there by then.
func waitFor(tokens, perSecond float64) time.Duration {
	if seconds := tokens / perSecond; seconds < maxWait.Seconds() {
		return time.Duration(seconds*float64(time.Second)) + time.Microsecond
	}
	return maxWait
}

// Return puts back the token of a request that has not run.
func (b *Bucket) Return() {
	b.tokens++
}
