package limit

import (
	"context"
	"sync"
	"time"

	"foxtailcroft/internal/agent/queue"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/pick"
)

// Limiter bounds the number of concurrent calls and queues the others by class.
type Limiter struct {
	service string

	mu             sync.Mutex
	capacity       int
	running        int
	patientRunning int
	queued         queue.Queue
	// meanServiceTime is a moving average in which the last call has weight 1/4; 0 before the first call ends.
	meanServiceTime time.Duration
}

// New returns a limiter with capacity 0: no call runs until SetCapacity is called.
func New(service string) *Limiter {
	return &Limiter{service: service}
}

// SetCapacity sets the maximum number of concurrent calls.
func (l *Limiter) SetCapacity(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = n
	l.startQueued()
}

// Load returns the load of the service that the agent sends with its replies.
func (l *Limiter) Load() wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadLocked()
}

// loadLocked is Load for a caller that holds the lock.
func (l *Limiter) loadLocked() wire.Load {
	return wire.Load{Loaded: true, Running: l.running, Queued: l.queued.Len(), Capacity: l.capacity, Service: l.meanServiceTime}
}

// Acquire waits until the call may run; release ends it. An error is the refusal
// of a call that did not run.
func (l *Limiter) Acquire(ctx context.Context, class kinds.Class, deadline time.Time) (release func(), err error) {
	result := make(chan error, 1)
	w := &queue.Waiter{Class: class, Deadline: deadline, Resolve: func(refusal error) { result <- refusal }}
	if err := l.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case <-result:
		return l.newRelease(class), nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	wasQueued := l.queued.Remove(w)
	l.mu.Unlock()
	if !wasQueued {
		l.newRelease(class)()
	}
	return nil, fault.NotRun(fault.DeadlineExceeded, "no place at service %q came free in time", l.service)
}

// enqueue adds a call to the queue, or refuses it if the queue is full or the
// call is forecast to miss its deadline.
func (l *Limiter) enqueue(w *queue.Waiter) error {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.loadLocked()
	wait := pick.ForecastWait(pick.Replica{Loaded: true, Running: load.Running, Queued: load.Queued, Capacity: load.Capacity, ServiceTime: load.Service})
	if !pick.MeetsDeadline(wait, load.Service, w.Deadline.Sub(now)) {
		return fault.NotRun(fault.DeadlineTooSoon, "service %q is expected to answer in %s", l.service, (wait + load.Service).Round(time.Millisecond)).WithRetryAfter(wait)
	}
	if !l.queued.Push(w, now) {
		return fault.NotRun(fault.Overloaded, "%d calls wait for service %q", queue.MaxWaiting, l.service).WithRetryAfter(wait)
	}
	l.startQueued()
	return nil
}

// startQueued starts queued calls as far as the capacity allows. The caller holds the lock.
func (l *Limiter) startQueued() {
	for {
		w := l.queued.Pop(func(w *queue.Waiter) bool { return queue.MayStart(w.Class, l.running, l.patientRunning, l.capacity) })
		if w == nil {
			return
		}
		l.running++
		if w.Class == kinds.Patient {
			l.patientRunning++
		}
		w.Resolve(nil)
	}
}

// newRelease returns the function that records the end of a call and starts queued ones.
func (l *Limiter) newRelease(class kinds.Class) func() {
	startedAt := time.Now()
	return sync.OnceFunc(func() {
		serviceTime := time.Since(startedAt)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.running--
		if class == kinds.Patient {
			l.patientRunning--
		}
		if l.meanServiceTime == 0 {
			l.meanServiceTime = serviceTime
		}
		l.meanServiceTime += (serviceTime - l.meanServiceTime) / 4
		l.startQueued()
	})
}
