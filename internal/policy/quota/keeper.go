package quota

import "time"

// Bounds is what an account may get beyond its limit in any window, as a share of what the limit
// allows there. A slack in tokens that deployments allow besides is not used.
type Bounds struct {
	Window time.Duration
	Excess float64
}

const (
	// defaultWindow and defaultExcess replace bounds that are not configured.
	defaultWindow = 8 * time.Second
	defaultExcess = 0.1
)

// WithDefaults returns the bounds with defaults for what is not configured.
func (b Bounds) WithDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	if b.Excess <= 0 {
		b.Excess = defaultExcess
	}
	return b
}

const (
	// takeoverTime is how long an issuer that is cut off may go on at the full rate beside its deputy:
	// HearTime, and the time of a last call to the deputy.
	takeoverTime = HearTime + 150*time.Millisecond
	// allowanceDivisor leaves parts of the excess to other fronts that begin within the same window.
	// With 3, one of 180,000 drawn orders of events broke the bound (orders_test.go).
	allowanceDivisor = 6
)

// startLevel returns what a deputy may lend at once as it begins: a part of what the bounds allow
// beyond what the issuer lends meanwhile.
func (b Bounds) startLevel(l Limit) float64 {
	spare := b.Excess*(l.PerSecond*b.Window.Seconds()+l.Burst) - l.PerSecond*startShare*takeoverTime.Seconds()
	return max(0, min(spare/allowanceDivisor, l.Burst*startShare))
}

// Keeper keeps the tokens of an account at a front that is its issuer or deputy.
type Keeper struct {
	bounds Bounds
	limit  Limit
	// bucket is nil until it is used.
	bucket   *Bucket
	isDeputy bool
	// isolated is true if the front took itself to be cut off as it last used the bucket.
	isolated bool
	usedAt   time.Duration
	// since is when the front became the issuer, as the bucket was last used.
	since time.Duration
	// lentAsDeputy is what the buckets before this one lent for a deputy.
	lentAsDeputy float64
	// settledRun, settledBorn and settled are the deputy's process, the start of its count and what it
	// had lent at the last settlement.
	settledRun  string
	settledBorn int64
	settled     float64
}

// NewKeeper returns a keeper without tokens.
func NewKeeper(b Bounds, l Limit) *Keeper {
	return &Keeper{bounds: b.WithDefaults(), limit: l}
}

// SetLimit changes the limit from now on.
func (k *Keeper) SetLimit(l Limit) {
	k.limit = l
	if k.bucket != nil {
		k.bucket.SetLimit(l)
	}
}

// Open returns the bucket as of now. An issuer's first one was empty when the front became the
// issuer, at since; that of a deputy earned nothing until then. Leases are numbered from firstNumber on.
func (k *Keeper) Open(now time.Duration, s Standing, since time.Duration, firstNumber int64) *Bucket {
	isolated := s.isolated()
	if k.bucket != nil && k.isDeputy {
		k.lentAsDeputy += k.bucket.spent
		k.bucket.spent = 0
	}
	switch {
	case s.IsDeputy && (k.bucket == nil || !k.isDeputy || now > k.usedAt+k.bounds.Window):
		// What a deputy could have lent long ago is not saved up, since the issuer lent it.
		k.bucket = &Bucket{limit: k.limit, level: k.bounds.startLevel(k.limit), at: now, share: startShare, firstNumber: firstNumber}
	case s.IsDeputy:
		// The issuer lent what this bucket could have earned while it was not used.
		k.bucket.at = max(k.bucket.at, now-LeaseTime)
	case k.bucket == nil || !s.IsDeputy && !k.isDeputy && since != k.since:
		// Also if another front was the issuer meanwhile.
		k.bucket = NewBucket(k.limit, since, now, firstNumber)
	case !s.IsDeputy && k.isDeputy:
		k.bucket.at = max(k.bucket.at, min(since, now))
		k.bucket.StartAnew(now)
	case k.isolated && !isolated:
		k.bucket.StartAnew(now)
	}
	if isolated && !k.isolated {
		// Others may have saved up a burst as well.
		k.bucket.Drain()
	}
	k.isDeputy, k.isolated, k.usedAt, k.since = s.IsDeputy, isolated, now, since
	k.bucket.Advance(now, s.Share(k.bounds))
	return k.bucket
}

// Lent returns what this front has lent as deputy since the keeper was created.
func (k *Keeper) Lent() float64 {
	if k.bucket == nil || !k.isDeputy {
		return k.lentAsDeputy
	}
	return k.lentAsDeputy + k.bucket.spent
}

// Settle charges an issuer's bucket what the deputy has lent since the last settlement; lent is
// what the deputy's process, run, has lent since born, the time at which it last forgot the account.
// The bucket must have been opened for the same time.
func (k *Keeper) Settle(run string, born int64, lent float64) {
	if k.bucket != nil && !k.isDeputy {
		since := 0.0
		switch {
		case run != k.settledRun:
		case born != k.settledBorn:
			since = lent
		default:
			since = max(0, lent-k.settled)
		}
		k.bucket.Settle(since)
	}
	k.settledRun, k.settledBorn, k.settled = run, born, lent
}

// IsIdle reports whether nothing would be lost with the keeper. It does not need to be opened before.
// A deputy's bucket is created anew after a window without use in any case.
func (k *Keeper) IsIdle(now time.Duration) bool {
	if k.isDeputy {
		return now > k.usedAt+k.bounds.Window
	}
	return k.bucket == nil || !k.isolated && k.bucket.IsIdle(now)
}
