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

// Limiter limits the number of concurrent calls and queues the others by class.
type Limiter struct {
	service string

	mu              sync.Mutex
	capacity        int
	running         int
	patientRunning  int
	queued          queue.Queue
	meanServiceTime time.Duration
}

// New returns a gate with capacity 0: no call runs until SetCapacity is called.
func New(service string) *Limiter {
	return &Limiter{service: service}
}

// SetCapacity sets the maximum number of concurrent calls.
func (g *Limiter) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = n
	g.startQueued()
}

// Load returns the load of the service that the agent sends with its replies.
func (g *Limiter) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadLocked()
}

func (g *Limiter) loadLocked() wire.Load {
	return wire.Load{Loaded: true, Running: g.running, Queued: g.queued.Len(), Capacity: g.capacity, Service: g.meanServiceTime}
}

// Acquire waits until the call may run; release ends it. An error is the refusal
// of a call that did not run.
func (g *Limiter) Acquire(ctx context.Context, class kinds.Class, deadline time.Time) (release func(), err error) {
	result := make(chan error, 1)
	w := &queue.Waiter{Class: class, Deadline: deadline, Resolve: func(refusal error) { result <- refusal }}
	if err := g.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case <-result:
		return g.newRelease(class), nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	wasQueued := g.queued.Remove(w)
	g.mu.Unlock()
	if !wasQueued {
		g.newRelease(class)()
	}
	return nil, fault.NotRun(fault.DeadlineExceeded, "no place at service %q came free in time", g.service)
}

// enqueue adds a call to the queue, or refuses it if the queue is full or the
// call is forecast to miss its deadline.
func (g *Limiter) enqueue(w *queue.Waiter) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.loadLocked()
	wait := pick.ForecastWait(pick.Replica{Loaded: true, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity, ServiceTime: l.Service})
	if !pick.MeetsDeadline(wait, l.Service, w.Deadline.Sub(now)) {
		return fault.NotRun(fault.DeadlineTooSoon, "service %q is expected to answer in %s", g.service, (wait + l.Service).Round(time.Millisecond)).WithRetryAfter(wait)
	}
	if !g.queued.Push(w, now) {
		return fault.NotRun(fault.Overloaded, "%d calls wait for service %q", queue.MaxWaiting, g.service).WithRetryAfter(wait)
	}
	g.startQueued()
	return nil
}

// startQueued starts queued calls as far as the capacity allows. The caller holds the lock.
func (g *Limiter) startQueued() {
	for {
		w := g.queued.Pop(func(w *queue.Waiter) bool { return queue.MayStart(w.Class, g.running, g.patientRunning, g.capacity) })
		if w == nil {
			return
		}
		g.running++
		if w.Class == kinds.Patient {
			g.patientRunning++
		}
		w.Resolve(nil)
	}
}

// newRelease returns the function that records the end of a call and starts queued ones.
func (g *Limiter) newRelease(class kinds.Class) func() {
	startedAt := time.Now()
	return sync.OnceFunc(func() {
		serviceTime := time.Since(startedAt)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		if class == kinds.Patient {
			g.patientRunning--
		}
		if g.meanServiceTime == 0 {
			g.meanServiceTime = serviceTime
		}
		g.meanServiceTime += (serviceTime - g.meanServiceTime) / 4
		g.startQueued()
	})
}
