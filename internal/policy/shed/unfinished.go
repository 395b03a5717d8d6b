package shed

import (
	"container/heap"
	"time"
)

// Source is a body whose progress changes as it is read.
type Source interface {
	Body() Body
}

// Unfinished holds the bodies that are being read, in the order in which they end to make room for
// connections. A change or a choice costs the logarithm of their number: a choice recomputes only the
// bodies that could have become slow, which each body can at most about once a second. Its zero value
// holds none.
type Unfinished[S Source] struct {
	bySlow  slowHeap[S]
	callers map[string]*callerBodies[S]
	byCount callerHeap[S]
	// spare are callers without bodies, for reuse.
	spare []*callerBodies[S]
}

// Entry is the place of a body among the unfinished ones; its zero value has none.
type Entry[S Source] struct {
	// source is the body; address and began don't change while it is held.
	source S
	began  time.Duration
	caller *callerBodies[S]
	// older and younger are its neighbors among the bodies of its caller.
	older, younger *Entry[S]
	// slowAt is the earliest time at which the body can be slow, by its progress when that was computed.
	slowAt time.Duration
	index  int
}

// callerBodies are the unfinished bodies of one caller, in the order in which their reading began.
type callerBodies[S Source] struct {
	address          string
	oldest, youngest *Entry[S]
	count, index     int
}

// maxSpareCallers bounds the callers that are kept for reuse.
const maxSpareCallers = 64

// Add adds a body that has just begun, of a caller's address.
func (u *Unfinished[S]) Add(e *Entry[S], source S, address string) {
	b := source.Body()
	*e = Entry[S]{source: source, began: b.Began, slowAt: SlowAt(b)}
	heap.Push(&u.bySlow, e)
	c := u.callers[address]
	if c == nil {
		c = u.newCaller(address)
	}
	e.caller, e.older = c, c.youngest
	if c.youngest == nil {
		c.oldest = e
	} else {
		c.youngest.younger = e
	}
	c.youngest = e
	c.count++
	if c.count == 1 {
		heap.Push(&u.byCount, c)
		return
	}
	heap.Fix(&u.byCount, c.index)
}

// newCaller returns a caller without bodies.
func (u *Unfinished[S]) newCaller(address string) *callerBodies[S] {
	if u.callers == nil {
		u.callers = map[string]*callerBodies[S]{}
	}
	c := &callerBodies[S]{}
	if last := len(u.spare) - 1; last >= 0 {
		c, u.spare = u.spare[last], u.spare[:last]
	}
	*c = callerBodies[S]{address: address}
	u.callers[address] = c
	return c
}

// Remove removes a body, if it is there.
func (u *Unfinished[S]) Remove(e *Entry[S]) {
	c := e.caller
	if c == nil {
		return
	}
	heap.Remove(&u.bySlow, e.index)
	if e.older == nil {
		c.oldest = e.younger
	} else {
		e.older.younger = e.younger
	}
	if e.younger == nil {
		c.youngest = e.older
	} else {
		e.younger.older = e.older
	}
	c.count--
	*e = Entry[S]{}
	if c.count > 0 {
		heap.Fix(&u.byCount, c.index)
		return
	}
	heap.Remove(&u.byCount, c.index)
	delete(u.callers, c.address)
	if len(u.spare) < maxSpareCallers {
		u.spare = append(u.spare, c)
	}
}

// Len returns the number of bodies.
func (u *Unfinished[S]) Len() int {
	return len(u.bySlow)
}

// Slow returns the body that has stalled or been slow for the longest; false if there is none.
func (u *Unfinished[S]) Slow(now time.Duration) (s S, ok bool) {
	for len(u.bySlow) > 0 {
		e := u.bySlow[0]
		if now < e.slowAt {
			break
		}
		at := SlowAt(e.source.Body())
		if at <= e.slowAt {
			return e.source, true
		}
		e.slowAt = at
		heap.Fix(&u.bySlow, 0)
	}
	return s, false
}

// Oldest returns the body whose reading began first, of the caller with the most bodies; false if
// there is none.
func (u *Unfinished[S]) Oldest() (s S, ok bool) {
	if len(u.byCount) == 0 {
		return s, false
	}
	return u.byCount[0].oldest.source, true
}

// slowHeap has the body on top that can be slow first.
type slowHeap[S Source] []*Entry[S]

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h slowHeap[S]) Len() int           { return len(h) }
func (h slowHeap[S]) Less(i, j int) bool { return h[i].slowAt < h[j].slowAt }

func (h slowHeap[S]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *slowHeap[S]) Push(x any) {
	if e, ok := x.(*Entry[S]); ok {
		e.index = len(*h)
		*h = append(*h, e)
	}
}

func (h *slowHeap[S]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// callerHeap has the caller on top with the most bodies, among equals the one with the oldest.
type callerHeap[S Source] []*callerBodies[S]

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h callerHeap[S]) Len() int { return len(h) }

func (h callerHeap[S]) Less(i, j int) bool {
	if h[i].count != h[j].count {
		return h[i].count > h[j].count
	}
	return h[i].oldest.began < h[j].oldest.began
}

func (h callerHeap[S]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *callerHeap[S]) Push(x any) {
	if c, ok := x.(*callerBodies[S]); ok {
		c.index = len(*h)
		*h = append(*h, c)
	}
}

func (h *callerHeap[S]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
