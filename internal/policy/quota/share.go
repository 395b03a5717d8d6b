package quota

import "time"

const (
	// startShare is the share of the rate that new issuers and deputies give out.
	startShare = 0.5
	// sharesPerFront divides the rate into this many parts a front while neither the issuer nor the
	// deputy answers, since both may go on lending.
	sharesPerFront = 4
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

// Share returns the share of the rate that a front may give out. One that is without word from
// both the store and its deputy takes itself to be cut off, with others lending in its place.
func (s Standing) Share() float64 {
	confirmed, heard := s.Confirmed <= ConfirmTime, s.Heard <= HearTime
	switch {
	case s.IsDeputy:
		return startShare
	case confirmed && heard:
		return 1
	case confirmed || heard:
		return startShare
	}
	return 1 / float64(sharesPerFront*max(1, s.Fronts))
}

// OwnShare returns the limit of one front for itself while it reaches neither issuer nor deputy.
func OwnShare(l Limit, fronts int) Limit {
	n := float64(sharesPerFront * max(1, fronts))
	return Limit{PerSecond: l.PerSecond / n, Burst: l.Burst / n}
}

// NewShare returns the bucket of such a share as its first request comes. Many fronts may turn to
// their shares at once and each admit a request of a higher cost than its share's burst, so their
// first ones are spread by draw, a random number below 1.
func NewShare(l Limit, now time.Duration, cost, draw float64) *Bucket {
	return &Bucket{limit: l, at: now, share: 1, level: l.Burst - draw*max(cost, l.Burst)}
}
