package fresh

import "time"

const (
	// maxReadInterval bounds the time between two reads of the document's key, each of which has a cost.
	maxReadInterval = 1500 * time.Millisecond
	// readIntervalTenths is the time between two reads in tenths of the bound, for bounds below 5 s.
	readIntervalTenths = 3
	// oldAgeDivisor is the divisor of the bound that gives the age from which a proof is renewed.
	oldAgeDivisor = 3
	// leadDivisor is the divisor of the bound that gives by how much earlier a front that others follow
	// renews its proof, so that they get it before theirs are old.
	leadDivisor = 20
	// askDelay is how long an answer of the store is awaited before other fronts are asked; a slow store
	// answers in 240 ms.
	askDelay = 300 * time.Millisecond
	// askInterval is the time between two questions to other fronts. Once the proof is older than the
	// bound, the store is likely away for all of them, and questions are sent every lostAskInterval.
	askInterval     = 500 * time.Millisecond
	lostAskInterval = time.Second
)

// Situation is what the decisions to renew a proof depend on; moments are 0 if there were none.
type Situation struct {
	Now   time.Duration
	Bound time.Duration
	Proof Proof
	// Followed is true if other fronts follow this one.
	Followed bool
	// ReadSent is when the latest read of the document's key was sent, Reading is true until it has
	// ended, and StoreAway if it or another call to the store failed.
	ReadSent  time.Duration
	Reading   bool
	StoreAway bool
	// Asked is when other fronts were last asked.
	Asked time.Duration
}

// isOld reports whether the proof has to be renewed.
func (s Situation) isOld() bool {
	limit := s.Bound / oldAgeDivisor
	if s.Followed {
		limit -= s.Bound / leadDivisor
	}
	return !s.Proof.Admits(s.Now, limit)
}

// ShouldRead reports whether to read the document's key at the store.
func (s Situation) ShouldRead() bool {
	interval := min(maxReadInterval, s.Bound*readIntervalTenths/10)
	return s.Bound > 0 && s.isOld() && !s.Reading && (s.ReadSent == 0 || s.Now-s.ReadSent >= interval)
}

// ShouldAsk reports whether to ask other fronts for their proofs, since the store does not answer.
func (s Situation) ShouldAsk() bool {
	silent := s.StoreAway || s.Reading && s.Now-s.ReadSent >= askDelay
	interval := askInterval
	if !s.Proof.Admits(s.Now, s.Bound) {
		interval = lostAskInterval
	}
	return s.Bound > 0 && s.isOld() && silent && (s.Asked == 0 || s.Now-s.Asked >= interval)
}
