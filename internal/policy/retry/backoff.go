package retry

import "time"

// Backoff describes the pauses between calls to a service that fails.
type Backoff struct {
	// Interval is the pause after the first failure, and the shortest one afterwards.
	Interval time.Duration
	// Max bounds the pauses.
	Max time.Duration
}

// Delay returns the pause after a number of failures in a row: exponential backoff with full jitter
// between Interval and a limit that doubles with each failure after the first. fraction is a random
// number from 0 to 1.
func (b Backoff) Delay(failures int, fraction float64) time.Duration {
	limit := b.Interval
	for ; failures > 1 && limit < b.Max; failures-- {
		limit *= 2
	}
	limit = max(b.Interval, min(limit, b.Max))
	return b.Interval + time.Duration(fraction*float64(limit-b.Interval))
}

const (
	// maxNotifiedPause bounds the pauses of a front that other fronts tell when the store is back.
	maxNotifiedPause = 5 * time.Second
	// maxPause bounds the pauses where only a call can show that the store is back: no other front answers,
	// or the store fails for this front alone. It is below the 2 s of registrations' leases and of the time
	// in which documents must be in force.
	maxPause = 1600 * time.Millisecond
	// proofAgeDivisor gives the share of the revocation bound after which a front reads the document itself.
	proofAgeDivisor = 3
)

// StoreOutage is what the pauses between a front's calls to a failing store depend on.
type StoreOutage struct {
	// Interval is the pause after the first failure.
	Interval time.Duration
	// Fronts is the number of known fronts, with this one.
	Fronts int
	// PeersAnswer tells that other fronts answer this one, and PeersReach that the store answers some of them.
	PeersAnswer bool
	PeersReach  bool
	// ProofBound is the age up to which a proof admits keys, 0 if keys need none. HasProof tells that this
	// front's proof is younger.
	ProofBound time.Duration
	HasProof   bool
}

// Backoff returns the pauses. They grow with the number of fronts up to their limit, so that the rate of
// the calls of up to a dozen fronts together does not. A proof that no other front can renew needs a read within a third of its bound.
func (o StoreOutage) Backoff() Backoff {
	limit := maxPause
	if o.PeersAnswer && !o.PeersReach {
		limit = maxNotifiedPause
	}
	if o.ProofBound > 0 {
		limit = min(limit, o.ProofBound)
	}
	if o.ProofBound > 0 && (!o.PeersAnswer || o.HasProof && !o.PeersReach) {
		limit = min(limit, o.ProofBound/proofAgeDivisor)
	}
	return Backoff{Interval: o.Interval, Max: max(o.Interval, min(limit, time.Duration(o.Fronts)*o.Interval))}
}
