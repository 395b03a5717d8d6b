package quota

import "time"

const (
	// LeaseTime is how long a front may use tokens that it has borrowed ahead of its requests.
	LeaseTime = 250 * time.Millisecond
	// returnTime is how long after the end of a lease its unused tokens are taken back.
	returnTime = 250 * time.Millisecond
	// StartTime is how long a new issuer lends at half the rate, since another front may have been
	// lending: fronts learn of each other within 2 s, and of what their view lacks within 0.5 s more.
	StartTime = 2500 * time.Millisecond
	// aheadDivisor bounds what one front borrows ahead to this part of what is left, so that
	// others still find tokens while it holds them.
	aheadDivisor = 4
	// maxPromised bounds the time that is promised to rejected requests.
	maxPromised = 30 * time.Second
)

// Limit is what an account may use: PerSecond on the average and Burst at once.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// spreadShare is the share of the burst that SpreadOver turns into rate. The rest admits a few
// requests that arrive together.
const spreadShare = 0.5

// SpreadOver returns a limit that admits as much in a window, PerSecond times the window and Burst,
// and of that a part of the burst in each window instead of once: an account whose demand stays a
// little above its rate would otherwise get nothing of its burst after the first seconds. A window
// of 0 changes nothing.
func (l Limit) SpreadOver(window time.Duration) Limit {
	if window <= 0 || l.PerSecond <= 0 {
		return l
	}
	spread := spreadShare * l.Burst
	return Limit{PerSecond: l.PerSecond + spread/window.Seconds(), Burst: l.Burst - spread}
}

// lease is a number of tokens that a front has borrowed ahead and not yet returned or used up.
type lease struct {
	tokens float64
	// end is when unused tokens are no longer taken back.
	end time.Duration
}

// Bucket holds the tokens of an account at one front. Its level and the tokens in unended
// leases are together never above the burst, so that tokens that come back are never in excess.
type Bucket struct {
	limit Limit
	level float64
	// at is the time of the level, and share the share of the rate that has been earned since.
	at    time.Duration
	share float64
	// halfUntil is the end of the time in which no more than half the rate is earned.
	halfUntil time.Duration
	// promised is the number of tokens that rejected requests have been told to come back for.
	promised float64
	// leases are in the order of their numbers, which is that of their ends.
	leases      []lease
	firstNumber int64
	lent        float64
	// spent is what was taken and lent, without what came back.
	spent float64
	// withheld is what was not earned since the last settlement for a share below the whole rate.
	withheld float64
}

// NewBucket returns a bucket that was empty at a start, and has earned half the rate for
// StartTime since. Its leases are numbered from firstNumber on.
func NewBucket(l Limit, start, now time.Duration, firstNumber int64) *Bucket {
	b := &Bucket{limit: l, at: start, share: 1, halfUntil: start + StartTime, firstNumber: firstNumber}
	b.Advance(now, 1)
	return b
}

// SetLimit changes the limit from now on; what is above a lower burst is lost.
func (b *Bucket) SetLimit(l Limit) {
	if b.limit != l {
		b.limit = l
		b.level = min(b.level, l.Burst-b.lent)
	}
}

// StartAnew lets the bucket earn no more than half the rate for StartTime.
func (b *Bucket) StartAnew(now time.Duration) {
	b.halfUntil = now + StartTime
}

// Settle charges what another front has lent in place of this one, as far as this one has not
// withheld as much.
func (b *Bucket) Settle(lent float64) {
	b.level -= max(0, lent-b.withheld)
	b.withheld = 0
}

// Drain takes out all tokens.
func (b *Bucket) Drain() {
	b.level = min(b.level, 0)
}

// Advance adds what has been earned until now; share is the share of the rate that the front
// may give out from now on. The lower one of the shares before and after counts until now.
func (b *Bucket) Advance(now time.Duration, share float64) {
	earned := min(b.share, share)
	if n := len(b.leases); n > 0 && b.leases[n-1].end < now {
		b.earn(b.leases[n-1].end, earned)
		b.dropLeases(now)
	}
	b.earn(now, earned)
	b.dropLeases(now)
	b.share = share
}

// earn adds what is earned until a time, up to what the leases leave of the burst.
func (b *Bucket) earn(until time.Duration, share float64) {
	if until <= b.at {
		return
	}
	half := max(0, min(until, b.halfUntil)-b.at)
	earned := b.limit.PerSecond * (min(share, startShare)*half.Seconds() + share*(until-b.at-half).Seconds())
	b.level = max(b.level, min(b.level+earned, b.limit.Burst-b.lent))
	b.withheld += max(0, b.limit.PerSecond*(until-b.at).Seconds()-earned)
	b.promised = max(0, b.promised-earned)
	b.at = until
}

// dropLeases forgets leases that have ended; their tokens count as used.
func (b *Bucket) dropLeases(now time.Duration) {
	n := 0
	for n < len(b.leases) && b.leases[n].end < now {
		b.lent -= b.leases[n].tokens
		n++
	}
	b.leases = b.leases[n:]
	b.firstNumber += int64(n)
	if len(b.leases) == 0 {
		// Rounding must not add up.
		b.lent = 0
	}
}

// Take takes the cost of a request, or returns the wait after which it may come back.
func (b *Bucket) Take(cost float64) (wait time.Duration, ok bool) {
	if !b.covers(cost) {
		return b.promise(cost), false
	}
	b.level -= cost
	b.spent += cost
	return 0, true
}

// roundingShare is the share of a burst that may be missing from a full bucket.
const roundingShare = 1e-9

// covers reports whether a request may be admitted: if there are tokens for it or, where it
// costs more than the burst, if the bucket is full.
func (b *Bucket) covers(cost float64) bool {
	return b.level >= min(cost, b.limit.Burst)*(1-roundingShare)
}

// promise returns when a request with a cost may come back, after those rejected before it. The
// tokens are not set aside, since callers may as well not come back: a new request may take them.
func (b *Bucket) promise(cost float64) time.Duration {
	wait := b.timeToEarn(b.promised + min(cost, b.limit.Burst) - b.level)
	b.promised = min(b.promised+cost, b.limit.PerSecond*maxPromised.Seconds())
	// Times are named in whole milliseconds.
	return wait.Truncate(time.Millisecond) + time.Millisecond
}

// timeToEarn returns the time that it takes to earn tokens.
func (b *Bucket) timeToEarn(tokens float64) time.Duration {
	share, half := max(b.share, minShare), max(0, b.halfUntil-b.at)
	perSecond := b.limit.PerSecond * share
	inHalf := b.limit.PerSecond * min(share, startShare)
	if first := inHalf * half.Seconds(); tokens > first {
		return half + seconds((tokens-first)/perSecond)
	}
	return seconds(max(0, tokens) / inHalf)
}

// minShare bounds the times to come back that follow from small shares.
const minShare = 1e-6

// seconds converts seconds to a duration, which it bounds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds the waits that are named.
const maxWaitSeconds = 3600

// Refund adds the cost of requests that were admitted and have not run.
func (b *Bucket) Refund(tokens float64) {
	if tokens > 0 {
		b.level = max(b.level, min(b.level+tokens, b.limit.Burst-b.lent))
	}
}

// IsIdle reports whether the bucket is as full by now as a new one becomes, at half the rate since it
// was last advanced, which is the least that an issuer earns unless it is cut off.
func (b *Bucket) IsIdle(now time.Duration) bool {
	since := b.at
	if n := len(b.leases); n > 0 {
		// What is earned before their end may be lost.
		since = max(since, b.leases[n-1].end)
	}
	earned := b.limit.PerSecond * startShare * (now - since).Seconds()
	return now >= since && b.promised <= earned && b.level+earned >= b.limit.Burst*(1-roundingShare)
}
