package runs

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

const (
	// answerRetention is how long an answer is kept past the attempt's deadline for an entry that sends its Run again late.
	answerRetention = 2 * time.Second
	// tombstoneRetention is how long the ids of ended and revoked attempts are remembered.
	tombstoneRetention = 10 * time.Minute
	// bodyRetention is how long a body is kept while its Run has not arrived.
	bodyRetention = 30 * time.Second
	// maxBodyBytes bounds one request's body.
	maxBodyBytes = 8 << 20
	// sweepPeriod is the interval between removals of what has expired.
	sweepPeriod = 5 * time.Second
)

// earlyBody is a request's body whose Run has not arrived yet.
type earlyBody struct {
	data        []byte
	firstPartAt time.Time
}

// Registry holds an agent's attempts by id.
type Registry struct {
	mu       sync.Mutex
	attempts map[string]*Attempt
	bodies   map[string]*earlyBody
	// Memory bounds the bytes of bodies and answers.
	Memory *Memory
	// tombstones are the removed attempts, and those revoked before their Run arrived, by id.
	tombstones map[string]tombstone
}

// tombstone records whether a removed attempt may have run.
type tombstone struct {
	mayHaveRun bool
	recordedAt time.Time
}

// NewRegistry returns an empty registry, whose bodies and answers are charged to the memory.
func NewRegistry(memory *Memory) *Registry {
	return &Registry{Memory: memory, attempts: map[string]*Attempt{}, bodies: map[string]*earlyBody{}, tombstones: map[string]tombstone{}}
}

// AddPart adds a part to a request's body. A part that is out of order or exceeds
// the limits is dropped; Open then refuses the attempt.
func (r *Registry) AddPart(p wire.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.bodies[p.Attempt]
	if !ok {
		b = &earlyBody{firstPartAt: time.Now()}
		r.bodies[p.Attempt] = b
	}
	if p.Offset == 0 {
		r.Memory.Add(-int64(len(b.data)))
		b.data = nil
	}
	if p.Offset != len(b.data) || len(b.data)+len(p.Data) > maxBodyBytes || r.Memory.IsFull() {
		return
	}
	b.data = append(b.data, p.Data...)
	r.Memory.Add(int64(len(p.Data)))
}

// Open returns the attempt of a Run, attached to the connection; fresh is true if
// it is new and must be executed. An error is a refusal.
func (r *Registry) Open(c *peer.Conn, run wire.Run) (a *Attempt, fresh bool, err error) {
	a, fresh, err = r.findOrAdd(c, run)
	if err == nil && !fresh {
		a.attach(c, run.From)
	}
	return a, fresh, err
}

// findOrAdd returns the attempt of a Run and whether it was added.
func (r *Registry) findOrAdd(c *peer.Conn, run wire.Run) (*Attempt, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bodies[run.Attempt]
	delete(r.bodies, run.Attempt)
	if b != nil {
		r.Memory.Add(-int64(len(b.data)))
	}
	if a, ok := r.attempts[run.Attempt]; ok {
		return a, false, nil
	}
	if t, ok := r.tombstones[run.Attempt]; ok {
		return nil, false, &fault.Refusal{Code: fault.Revoked, Message: "attempt " + run.Attempt + " is over", NotRun: !t.mayHaveRun}
	}
	if run.Remaining <= 0 {
		return nil, false, fault.NotRun(fault.DeadlineExceeded, "attempt %s came after its deadline", run.Attempt)
	}
	if r.Memory.IsFull() {
		return nil, false, fault.NotRun(fault.Overloaded, "the agent keeps %d bytes of requests and answers", r.Memory.Held())
	}
	var data []byte
	if b != nil {
		data = b.data
	}
	if len(data) != run.BodyBytes {
		return nil, false, fault.NotRun(fault.Overloaded, "body of attempt %s has %d of %d bytes", run.Attempt, len(data), run.BodyBytes)
	}
	a := newAttempt(c, run, data)
	a.memory = r.Memory
	r.Memory.Add(int64(len(data)))
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
		t, known := r.tombstones[id]
		if !known {
			r.tombstones[id] = tombstone{recordedAt: time.Now()}
		}
		return !t.mayHaveRun
	}
	r.mu.Unlock()
	return a.revoke()
}

// Ack releases an attempt's answer, which the entry has received.
func (r *Registry) Ack(id string) {
	r.mu.Lock()
	a := r.attempts[id]
	r.mu.Unlock()
	if a == nil {
		return
	}
	a.acknowledge()
}

// ActiveAttempts returns the attempts that have not ended.
func (r *Registry) ActiveAttempts() []*Attempt {
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

// AwaitedCount returns the number of attempts that have not ended or whose answer may still be acknowledged.
func (r *Registry) AwaitedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, now := 0, time.Now()
	for _, a := range r.attempts {
		if a.isAwaited(now) {
			n++
		}
	}
	return n
}

// Sweep removes expired attempts, bodies and tombstones every sweepPeriod until the context ends.
func (r *Registry) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.removeExpired(now)
		case <-ctx.Done():
			return
		}
	}
}

// removeExpired removes what has expired at now.
func (r *Registry) removeExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		if !a.removable(now) {
			continue
		}
		a.mu.Lock()
		mayHaveRun := a.done.Refusal == nil || !a.done.Refusal.NotRun
		a.releaseBuffers()
		a.mu.Unlock()
		delete(r.attempts, id)
		r.tombstones[id] = tombstone{mayHaveRun: mayHaveRun, recordedAt: now}
	}
	for id, b := range r.bodies {
		if now.Sub(b.firstPartAt) > bodyRetention {
			r.Memory.Add(-int64(len(b.data)))
			delete(r.bodies, id)
		}
	}
	for id, t := range r.tombstones {
		if now.Sub(t.recordedAt) > tombstoneRetention {
			delete(r.tombstones, id)
		}
	}
}
