package queue

import (
	"cmp"
	"slices"
	"time"

	"foxtailcroft/internal/core/kinds"
)

// MaxWaiting bounds the requests that wait in one queue.
const MaxWaiting = 1024

// patientSharePercent is the share of a replica's concurrency that patient requests may use, in percent.
const patientSharePercent = 75

// classDelay is how much later than its arrival a request of the class is
// sorted into the queue. It bounds how long more urgent requests can overtake the class.
func classDelay(c kinds.Class) time.Duration {
	switch c {
	case kinds.Urgent:
		return 0
	case kinds.Patient:
		return 10 * time.Second
	}
	return time.Second
}

// Waiter is one queued request.
type Waiter struct {
	Class    kinds.Class
	Deadline time.Time
	// Adapter is the adapter that the request needs, empty for none.
	Adapter string
	// Resolve is called once: with nil when the request may run, else with its refusal. It must not block.
	Resolve func(refusal error)
	// sortTime is the time of arrival plus the class's delay.
	sortTime time.Time
}

// Queue is a list of waiting requests in the order of their sort times. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiters)
}

// Push adds a request; it reports false if the queue is full.
func (q *Queue) Push(w *Waiter, now time.Time) bool {
	if len(q.waiters) >= MaxWaiting {
		return false
	}
	w.sortTime = now.Add(classDelay(w.Class))
	index, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *Waiter) int {
		return cmp.Or(a.sortTime.Compare(b.sortTime), -1)
	})
	q.waiters = slices.Insert(q.waiters, index, w)
	return true
}

// Remove removes a request; it reports false if the request was not in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	index := slices.Index(q.waiters, w)
	if index < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, index, index+1)
	return true
}

// Pop removes and returns the first request for which accept is true, nil if there is none.
func (q *Queue) Pop(accept func(*Waiter) bool) *Waiter {
	for i, w := range q.waiters {
		if accept(w) {
			q.waiters = slices.Delete(q.waiters, i, i+1)
			return w
		}
	}
	return nil
}

// Each calls fn for the waiting requests in order.
func (q *Queue) Each(fn func(*Waiter)) {
	for _, w := range q.waiters {
		fn(w)
	}
}

// MayStart reports whether a request of the class may start, given the running
// requests, those of the patient class among them, and the maximum concurrency.
// One patient request may always run, also where its class's share rounds down to 0.
func MayStart(c kinds.Class, running, patientRunning, capacity int) bool {
	if running >= capacity {
		return false
	}
	return c != kinds.Patient || patientRunning < max(1, capacity*patientSharePercent/100)
}
