package shed

import (
	"math/bits"
	"time"
)

// Body is a request's body that is being read. Its times are on any one steady clock.
type Body struct {
	// Bytes is the memory that the body holds, Received how much of the body has arrived.
	Bytes    int64
	Received int64
	// Began is when the reading began, LastAt when bytes came last.
	Began  time.Duration
	LastAt time.Duration
}

const (
	// stallTime is the time without bytes after which a body counts as stalled when memory is short.
	stallTime = time.Second
	// minRateTime is the shortest time over which a rate is computed, so that bodies that have just
	// begun don't count as fast.
	minRateTime = time.Second
	// rateClassBits is the number of bits by which two rates must differ to be of two classes: a
	// factor of 4, so that size decides between similar rates.
	rateClassBits = 2
)

// First returns the index of the body to end first: a stalled one, else one of the slowest; the
// largest among equals. It returns -1 if there is none.
func First(now time.Duration, bodies []Body) int {
	first := -1
	for i, b := range bodies {
		if first < 0 || givesWayTo(now, b, bodies[first]) {
			first = i
		}
	}
	return first
}

// Oldest returns the index of the body whose reading began first, -1 if there is none. Small bodies
// usually arrive with their headers, so the oldest unfinished one is the least likely to be ordinary.
func Oldest(bodies []Body) int {
	oldest := -1
	for i, b := range bodies {
		if oldest < 0 || b.Began < bodies[oldest].Began {
			oldest = i
		}
	}
	return oldest
}

// givesWayTo reports whether body a ends before body b.
func givesWayTo(now time.Duration, a, b Body) bool {
	if ca, cb := class(now, a), class(now, b); ca != cb {
		return ca < cb
	}
	return a.Bytes > b.Bytes
}

// class returns 0 for a stalled body, and a higher number for a faster one.
func class(now time.Duration, b Body) int {
	if IsStalled(now, b) {
		return 0
	}
	perSecond := b.Received * int64(time.Second/time.Millisecond) / int64(max(now-b.Began, minRateTime)/time.Millisecond)
	return 1 + bits.Len64(uint64(max(0, perSecond)))/rateClassBits
}

// IsStalled reports whether no bytes of a body have come for a while.
func IsStalled(now time.Duration, b Body) bool {
	return now-b.LastAt >= stallTime
}

// slowBytesPerSecond is the rate below which a body is slow when connections are short.
const slowBytesPerSecond = 1 << 10

// IsSlow reports whether a body has stalled, or has come slowly since a while ago.
func IsSlow(now time.Duration, b Body) bool {
	return now >= SlowAt(b)
}

// SlowAt returns since when a body has stalled or been slow or, if it is neither, the earliest time
// at which it can be. It never becomes earlier as bytes arrive.
func SlowAt(b Body) time.Duration {
	slow := time.Duration(float64(b.Received) / slowBytesPerSecond * float64(time.Second))
	return min(b.LastAt+stallTime, b.Began+max(minRateTime, slow))
}

// MinBytesPerSecond is the mean rate below which a body is too slow while memory or connections are
// short: 960 bytes in a minute.
const MinBytesPerSecond = 16

// ShortTime is how long memory and connections count as short after a body had to be ended for others.
const ShortTime = 5 * time.Second

// IsTooSlow reports whether a body arrives too slowly to be read on; it never does within the grace
// time, or if neither memory nor connections are short.
func IsTooSlow(received int64, elapsed, grace time.Duration, short bool) bool {
	return short && elapsed > grace && float64(received) < MinBytesPerSecond*elapsed.Seconds()
}
