package emul

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// event is a callback scheduled for a simulated time.
type event struct {
	at time.Duration
	// seq keeps events of the same time in the order in which they were scheduled.
	seq int
	run func()
}

// eventQueue is a min-heap of events by time; it implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop removes and returns the last element.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs do at a simulated time.
func (p *simulation) schedule(t time.Duration, do func()) {
	p.scheduled++
	heap.Push(&p.queue, &event{at: t, seq: p.scheduled, run: do})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
