package admit

import (
	"sync"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
)

// retryAfterOverload is the Retry-After sent with an Overloaded refusal.
const retryAfterOverload = time.Second

// classSharePercent returns the percentage of the capacity up to which a class
// is admitted. Less urgent classes get less, so they can't keep urgent requests out.
func classSharePercent(c kinds.Class) int {
	switch c {
	case kinds.Urgent:
		return 100
	case kinds.Patient:
		return 80
	}
	return 95
}

// Limit bounds the number of requests in flight.
type Limit struct {
	capacity int
	mu       sync.Mutex
	inFlight int
}

// New returns a limit of capacity requests in flight.
func New(capacity int) *Limit {
	return &Limit{capacity: capacity}
}

// Acquire admits a request, which counts as in flight until the returned
// function is called. The error is an Overloaded *fault.Refusal if the class's share is used up.
func (l *Limit) Acquire(c kinds.Class) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.capacity*classSharePercent(c)/100 {
		return nil, fault.NotRun(fault.Overloaded, "the entry carries %d requests", l.inFlight).WithRetryAfter(retryAfterOverload)
	}
	l.inFlight++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight--
	}), nil
}

// InFlight returns the number of admitted requests that have not ended.
func (l *Limit) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
