package tries

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// keepPast is how long an answer is kept past its deadline for an entry that asks late.
	keepPast = 2 * time.Second
	// rememberFor is how long ids of ended and revoked attempts are remembered.
	rememberFor = 10 * time.Minute
	// partsFor is how long a body waits for its Run.
	partsFor = 30 * time.Second
	// maxHeld bounds the bytes of bodies and kept answers.
	maxHeld = 48 << 20
	// maxBody bounds one request's body.
	maxBody     = 8 << 20
	sweepPeriod = 5 * time.Second
)

type body struct {
	data []byte
	at   time.Time
}

// Registry holds an agent's attempts by id.
type Registry struct {
	mu       sync.Mutex
	attempts map[string]*Attempt
	bodies   map[string]*body
	// held sums the bytes of bodies and kept answers.
	held atomic.Int64
	// past remembers attempts that are gone; the value says whether one can have run.
	past map[string]memory
}

type memory struct {
	ran bool
	at  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{attempts: map[string]*Attempt{}, bodies: map[string]*body{}, past: map[string]memory{}}
}

// Part adds a piece to a request's body.
func (r *Registry) Part(p wire.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.bodies[p.Attempt]
	if !ok {
		b = &body{at: time.Now()}
		r.bodies[p.Attempt] = b
	}
	if p.Offset == 0 {
		r.held.Add(-int64(len(b.data)))
		b.data = nil
	}
	if p.Offset != len(b.data) || len(b.data)+len(p.Data) > maxBody || r.full() {
		return
	}
	b.data = append(b.data, p.Data...)
	r.held.Add(int64(len(p.Data)))
}

// Open returns the attempt of a Run, attached to the connection; fresh is true if it is new and must be executed.
func (r *Registry) Open(c *peer.Conn, run wire.Run) (a *Attempt, fresh bool, err error) {
	a, fresh, err = r.open(c, run)
	if err == nil && !fresh {
		a.attach(c, run.From)
	}
	return a, fresh, err
}

func (r *Registry) open(c *peer.Conn, run wire.Run) (*Attempt, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bodies[run.Attempt]
	delete(r.bodies, run.Attempt)
	if b != nil {
		r.held.Add(-int64(len(b.data)))
	}
	if a, ok := r.attempts[run.Attempt]; ok {
		return a, false, nil
	}
	if m, ok := r.past[run.Attempt]; ok {
		return nil, false, &fault.Refusal{Code: fault.Revoked, Message: "attempt " + run.Attempt + " is over", NotRun: !m.ran}
	}
	if run.Remaining <= 0 {
		return nil, false, fault.NotRun(fault.DeadlineExceeded, "attempt %s came after its deadline", run.Attempt)
	}
	if r.full() {
		return nil, false, fault.NotRun(fault.Overloaded, "the agent keeps %d bytes of requests and answers", r.held.Load())
	}
	var data []byte
	if b != nil {
		data = b.data
	}
	if len(data) != run.BodyBytes {
		return nil, false, fault.NotRun(fault.Overloaded, "body of attempt %s has %d of %d bytes", run.Attempt, len(data), run.BodyBytes)
	}
	a := newAttempt(c, run, data)
	a.held = &r.held
	r.held.Add(int64(len(data)))
	r.attempts[run.Attempt] = a
	return a, true, nil
}

func newAttempt(c *peer.Conn, run wire.Run, data []byte) *Attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Attempt{
		Run: run, Body: data, Deadline: time.Now().Add(run.Remaining), Ctx: ctx, cancel: cancel,
		digest: xxhash.New(), conn: c,
	}
}

// Revoke ends an attempt and reports whether it certainly did not and will not run here.
func (r *Registry) Revoke(id string) bool {
	r.mu.Lock()
	a, ok := r.attempts[id]
	if !ok {
		defer r.mu.Unlock()
		m, known := r.past[id]
		if !known {
			r.past[id] = memory{at: time.Now()}
		}
		return !m.ran
	}
	r.mu.Unlock()
	return a.revoke()
}

// Ack drops an attempt's answer.
func (r *Registry) Ack(id string) {
	r.mu.Lock()
	a := r.attempts[id]
	r.mu.Unlock()
	if a == nil {
		return
	}
	a.acknowledge()
}

// full reports whether bodies and kept answers take all the memory they may.
func (r *Registry) full() bool {
	return r.held.Load() > maxHeld
}

// Active returns the attempts that have not ended.
func (r *Registry) Active() []*Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Attempt
	for _, a := range r.attempts {
		a.mu.Lock()
		if a.phase != ended {
			out = append(out, a)
		}
		a.mu.Unlock()
	}
	return out
}

// Awaited returns the number of attempts that run or whose answer may yet be collected.
func (r *Registry) Awaited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, now := 0, time.Now()
	for _, a := range r.attempts {
		if a.awaited(now) {
			n++
		}
	}
	return n
}

// Sweep forgets what is past its time, until the context ends.
func (r *Registry) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		if !a.settled(now) {
			continue
		}
		a.mu.Lock()
		ran := a.done.Refusal == nil || !a.done.Refusal.NotRun
		a.drop()
		a.mu.Unlock()
		delete(r.attempts, id)
		r.past[id] = memory{ran: ran, at: now}
	}
	for id, b := range r.bodies {
		if now.Sub(b.at) > partsFor {
			r.held.Add(-int64(len(b.data)))
			delete(r.bodies, id)
		}
	}
	for id, m := range r.past {
		if now.Sub(m.at) > rememberFor {
			delete(r.past, id)
		}
	}
}
