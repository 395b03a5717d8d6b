package pace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// burst is the number of requests that may follow each other at once after a pause.
const burst = 2

// Schedule is when an instance takes its next requests; the zero value has given out none.
type Schedule struct {
	// next is when the next request is due at an even pace.
	next time.Time
}

// StartAt returns a schedule that allows no request before a time and no burst then.
func StartAt(t time.Time, perSecond float64) Schedule {
	return Schedule{next: t.Add((burst - 1) * Interval(perSecond))}
}

// Reserve returns the schedule with one more request at a limit of perSecond, and the wait
// until the request may be sent. If that is longer than maxWait, ok is false and nothing is reserved.
func (s Schedule) Reserve(now time.Time, perSecond float64, maxWait time.Duration) (after Schedule, wait time.Duration, ok bool) {
	if s.next.Before(now) {
		s.next = now
	}
	wait = max(0, s.next.Sub(now)-(burst-1)*Interval(perSecond))
	if wait > maxWait {
		return s, wait, false
	}
	return Schedule{next: s.next.Add(Interval(perSecond))}, wait, true
}

// IsIdle reports whether the schedule allows as much as a new one.
func (s Schedule) IsIdle(now time.Time) bool {
	return !s.next.After(now)
}

// Interval returns the time between two requests at an even pace.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}

// minPerSecond bounds the interval of very low limits.
const minPerSecond = 0.01

// Issuer returns the front that keeps an instance's schedule for all, "" if there is no
// front. Where fronts come or go, few instances change their issuer.
func Issuer(instance string, fronts []string) string {
	first, _ := Issuers(instance, fronts)
	return first
}

// Issuers returns the front that decides for all fronts on what has a name, and the front that
// does so while the first one does not answer; "" for those that do not exist.
func Issuers(name string, fronts []string) (first, second string) {
	var highest, next uint64
	for _, f := range fronts {
		h := xxhash.Sum64String(f + "/" + name)
		switch {
		case first == "" || h > highest || h == highest && f < first:
			first, second, highest, next = f, first, h, highest
		case second == "" || h > next || h == next && f < second:
			second, next = f, h
		}
	}
	return first, second
}
