package quota

import "time"

const (
	// startShare is the share of the rate that new issuers and deputies give out.
	startShare = 0.5
	// maxShares and excessShares bound the sum of the shares that fronts use while neither the issuer
	// nor the deputy answers, as a part of the rate and of the excess: other fronts may lend the whole
	// rate meanwhile. A quarter of the rate alone broke a bound of 10 % (orders_test.go).
	maxShares    = 0.25
	excessShares = 0.5
	// ConfirmTime is how long an issuer lends at the full rate without word from the store.
	ConfirmTime = 2500 * time.Millisecond
	// HearTime is how long an issuer lends at the full rate without word from its deputy, which
	// lends at half the rate while it does not hear the issuer.
	HearTime = time.Second
)

// Standing is what a front knows of its right to lend the tokens of an account.
type Standing struct {
	// IsDeputy is true if another front is the issuer and does not answer.
	IsDeputy bool
	// Confirmed is the time since the store has confirmed which fronts there are.
	Confirmed time.Duration
	// Heard is the time since the deputy has answered; 0 if there is none.
	Heard time.Duration
	// Fronts is the number of fronts.
	Fronts int
}

// ownShare returns the share of the rate that a front may use while it is cut off.
func (b Bounds) ownShare(fronts int) float64 {
	return min(maxShares, excessShares*b.WithDefaults().Excess) / float64(max(1, fronts))
}

// Share returns the share of the rate that a front may give out. One that is without word from
// both the store and its deputy takes itself to be cut off, with others lending in its place.
func (s Standing) Share(b Bounds) float64 {
	switch {
	case s.isolated():
		return b.ownShare(s.Fronts)
	case s.IsDeputy || s.Confirmed > ConfirmTime || s.Heard > HearTime:
		return startShare
	}
	return 1
}

// isolated reports whether an issuer takes itself to be cut off.
func (s Standing) isolated() bool {
	return !s.IsDeputy && s.Confirmed > ConfirmTime && s.Heard > HearTime
}

// Share is what one front uses of a limit for itself while it reaches neither issuer nor deputy.
// Requests must be earned whole before they are admitted, whatever the burst.
type Share struct {
	bounds Bounds
	bucket Bucket
}

// NewShare returns the share of a front as its first request comes. Many fronts may turn to their
// shares at once, so draw, a random number below 1, spreads their first requests.
func NewShare(b Bounds, now time.Duration, cost, draw float64) *Share {
	return &Share{bounds: b.WithDefaults(), bucket: Bucket{at: now, share: 1, limit: Limit{Burst: cost}, level: -draw * cost}}
}

// Take takes the cost of a request from the share of a limit.
func (s *Share) Take(now time.Duration, l Limit, fronts int, cost float64) (wait time.Duration, ok bool) {
	share := s.bounds.ownShare(fronts)
	s.bucket.SetLimit(Limit{PerSecond: l.PerSecond * share, Burst: max(s.bucket.limit.Burst, l.Burst*share, cost)})
	s.bucket.Advance(now, 1)
	if most := excessShares * s.bounds.Excess * (l.PerSecond*s.bounds.Window.Seconds() + l.Burst); cost > most {
		// One such request at one front would be too much.
		return s.bucket.promise(cost), false
	}
	return s.bucket.Take(cost)
}
