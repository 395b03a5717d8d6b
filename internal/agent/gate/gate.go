package gate

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

// Gate lets calls run up to a capacity and queues the others by class.
type Gate struct {
	service string

	mu       sync.Mutex
	capacity int
	running  int
	patient  int
	waiting  queue.Queue
	mean     time.Duration
}

// New returns a gate that lets nothing run until SetCapacity.
func New(service string) *Gate {
	return &Gate{service: service}
}

// SetCapacity changes how many calls run at once.
func (g *Gate) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = n
	g.pump()
}

// Load returns what the agent tells of the service with its replies.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() wire.Load {
	return wire.Load{Loaded: true, Running: g.running, Queued: g.waiting.Len(), Capacity: g.capacity, Service: g.mean}
}

// Acquire waits for a place; its errors are refusals of calls that did not run.
func (g *Gate) Acquire(ctx context.Context, class kinds.Class, deadline time.Time) (release func(), err error) {
	ready := make(chan error, 1)
	t := &queue.Ticket{Class: class, Deadline: deadline, Ready: func(refusal error) { ready <- refusal }}
	if err := g.push(t); err != nil {
		return nil, err
	}
	select {
	case <-ready:
		return g.releaser(class), nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := g.waiting.Remove(t)
	g.mu.Unlock()
	if !waiting {
		g.releaser(class)()
	}
	return nil, fault.NotRun(fault.DeadlineExceeded, "no place at service %q came free in time", g.service)
}

// push admits a call to the queue.
func (g *Gate) push(t *queue.Ticket) error {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.load()
	wait := pick.Forecast(pick.Replica{Loaded: true, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity, Service: l.Service})
	if !pick.InTime(wait, l.Service, t.Deadline.Sub(now)) {
		return fault.NotRun(fault.DeadlineTooSoon, "service %q is expected to answer in %s", g.service, (wait + l.Service).Round(time.Millisecond)).WithRetryAfter(wait)
	}
	if !g.waiting.Push(t, now) {
		return fault.NotRun(fault.Overloaded, "%d calls wait for service %q", queue.Limit, g.service).WithRetryAfter(wait)
	}
	g.pump()
	return nil
}

// pump lets waiting calls run.
func (g *Gate) pump() {
	for {
		t := g.waiting.Pop(func(t *queue.Ticket) bool { return queue.Fits(t.Class, g.running, g.patient, g.capacity) })
		if t == nil {
			return
		}
		g.running++
		if t.Class == kinds.Patient {
			g.patient++
		}
		t.Ready(nil)
	}
}

// releaser returns the function that frees a call's place.
func (g *Gate) releaser(class kinds.Class) func() {
	began := time.Now()
	return sync.OnceFunc(func() {
		took := time.Since(began)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		if class == kinds.Patient {
			g.patient--
		}
		if g.mean == 0 {
			g.mean = took
		}
		g.mean += (took - g.mean) / 4
		g.pump()
	})
}
