package queue

import (
	"cmp"
	"slices"
	"time"

	"foxtailcroft/internal/core/kinds"
)

// Limit bounds the requests that wait in one queue.
const Limit = 1024

// patientShare is the share of a replica's places that patient requests may take, in percent.
const patientShare = 75

// headStart is how much later a class's requests are placed than urgent ones
// that arrived with them; it bounds how long a class can be overtaken.
func headStart(c kinds.Class) time.Duration {
	switch c {
	case kinds.Urgent:
		return 0
	case kinds.Patient:
		return 10 * time.Second
	}
	return time.Second
}

// Ticket is one waiting request.
type Ticket struct {
	Class    kinds.Class
	Deadline time.Time
	// Adapter is what the request needs beside its model; empty for nothing.
	Adapter string
	// Ready is called once: with nil when the request may run, else with its refusal; it must not block.
	Ready func(refusal error)
	place time.Time
}

// Queue is an ordered list of waiting requests. It is not safe for concurrent use.
type Queue struct {
	waiting []*Ticket
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Push adds a request; it reports false if the queue is full.
func (q *Queue) Push(t *Ticket, now time.Time) bool {
	if len(q.waiting) >= Limit {
		return false
	}
	t.place = now.Add(headStart(t.Class))
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		return cmp.Or(a.place.Compare(b.place), -1)
	})
	q.waiting = slices.Insert(q.waiting, at, t)
	return true
}

// Remove takes a request out; it reports false if the request was not waiting.
func (q *Queue) Remove(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Pop takes out the first request that ok accepts, or returns nil.
func (q *Queue) Pop(ok func(*Ticket) bool) *Ticket {
	for i, t := range q.waiting {
		if ok(t) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return t
		}
	}
	return nil
}

// Each calls fn for the waiting requests in order.
func (q *Queue) Each(fn func(*Ticket)) {
	for _, t := range q.waiting {
		fn(t)
	}
}

// Fits reports whether a class may take one more place of a replica where patient requests hold some already.
func Fits(c kinds.Class, running, patient, capacity int) bool {
	if running >= capacity {
		return false
	}
	return c != kinds.Patient || patient < max(1, capacity*patientShare/100)
}
