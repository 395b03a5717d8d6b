package admit

import (
	"sync"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
)

// retryAfter is when a refused caller may find a place.
const retryAfter = time.Second

// share returns the part of all places that a class may fill, in percent, so
// that less pressing requests cannot keep more pressing ones out.
func share(c kinds.Class) int {
	switch c {
	case kinds.Urgent:
		return 100
	case kinds.Patient:
		return 80
	}
	return 95
}

// Limit bounds the requests in flight.
type Limit struct {
	places int
	mu     sync.Mutex
	taken  int
}

// New returns a limit of that many places.
func New(places int) *Limit {
	return &Limit{places: places}
}

// Enter takes a place until the returned function is called, or refuses.
func (l *Limit) Enter(c kinds.Class) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taken >= l.places*share(c)/100 {
		return nil, fault.NotRun(fault.Overloaded, "the entry carries %d requests", l.taken).WithRetryAfter(retryAfter)
	}
	l.taken++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.taken--
	}), nil
}

// InFlight returns the places taken.
func (l *Limit) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken
}
