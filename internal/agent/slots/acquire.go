package slots

import (
	"context"
	"time"

	"foxtailcroft/internal/agent/queue"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/pick"
)

// Want is a request for a place on a replica.
type Want struct {
	Model    string
	Adapter  string
	Class    kinds.Class
	Deadline time.Time
	// Final forbids a redirect to another slot.
	Final bool
}

// Grant is a place on a loaded replica, held until Release is called.
type Grant struct {
	Item engine.Item
	// Cold is true if the request waited for a load.
	Cold    bool
	Release func()
}

// Acquire waits for a place on the model's replica here, waking it if it is
// dormant. Its errors are refusals of requests that did not run.
func (m *Manager) Acquire(ctx context.Context, w Want) (Grant, error) {
	ready := make(chan error, 1)
	t := &queue.Ticket{Class: w.Class, Deadline: w.Deadline, Adapter: w.Adapter, Ready: func(refusal error) { ready <- refusal }}
	r, cold, err := m.enqueue(w, t)
	if err != nil {
		return Grant{}, err
	}
	select {
	case refusal := <-ready:
		if refusal != nil {
			return Grant{}, refusal
		}
		return m.granted(r, w, cold), nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	waiting := r.queue.Remove(t)
	m.mu.Unlock()
	if !waiting {
		if refusal := <-ready; refusal != nil {
			return Grant{}, refusal
		}
		m.granted(r, w, cold).Release()
	}
	return Grant{}, m.lateRefusal(ctx, r)
}

// lateRefusal words the refusal of a request that waited in vain.
func (m *Manager) lateRefusal(ctx context.Context, r *replica) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refused := context.Cause(ctx); refused != ctx.Err() {
		return refused
	}
	if r.lastFail != "" {
		return fault.NotRun(fault.DeadlineExceeded, "model %q was not loaded in time: %s", r.name.Model, r.lastFail)
	}
	return fault.NotRun(fault.DeadlineExceeded, "no place on model %q came free in time", r.name.Model)
}

// enqueue admits a request to the queue of its replica.
func (m *Manager) enqueue(w Want, t *queue.Ticket) (*replica, bool, error) {
	v := m.holder.View()
	res, ok := v.Model(w.Model)
	if !ok {
		return nil, false, fault.NotRun(fault.NotFound, "model %q is not declared", w.Model)
	}
	if _, ok := v.Adapter(w.Adapter); w.Adapter != "" && !ok {
		return nil, false, fault.NotRun(fault.NotFound, "adapter %q is not declared", w.Adapter)
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := m.admit(v, w, *res.Model, now); refusal != nil {
		return nil, false, refusal
	}
	r := m.replica(w.Model, *res.Model)
	if !r.queue.Push(t, now) {
		return nil, false, fault.NotRun(fault.Overloaded, "%d requests wait for model %q", queue.Limit, w.Model).WithRetryAfter(r.service)
	}
	r.observe(now, m.coldTime(r))
	cold := r.phase != loaded || !m.adapterReady(r, w.Adapter)
	if cold {
		r.cold++
	}
	m.pump(v, r, now)
	return r, cold, nil
}

// observe adds the gap before an arrival that ends a quiet time.
func (r *replica) observe(now time.Time, cold time.Duration) {
	quiet := r.running == 0 && r.queue.Len() == 1
	r.crowd.Arrived(now, quiet, cold)
	if quiet && !r.quietSince.IsZero() {
		r.gaps.Observe(now.Sub(r.quietSince))
	}
	r.hits++
}

// admit refuses a request that cannot be served here in time.
func (m *Manager) admit(v *view.View, w Want, spec kinds.ModelSpec, now time.Time) error {
	p := v.Plan(plan.ModelKey(w.Model))
	r := m.replicas[w.Model]
	up := r != nil && r.phase == loaded
	s, here := p.At(m.set.Node)
	next := m.next(p, w)
	switch {
	case m.deposed || m.closed:
		return fault.NotRun(fault.Deposed, "another agent has taken over endpoint %q", m.set.Node).WithEndpoint(next)
	case !here || s.State != plan.Active || (r != nil && r.releasing):
		return fault.NotRun(fault.NoSlot, "model %q has no active slot at endpoint %q", w.Model, m.set.Node).WithEndpoint(next)
	case !up && !m.confirmed:
		return fault.NotRun(fault.StoreAway, "endpoint %q has not read the plan since its start", m.set.Node).WithEndpoint(next)
	case next != "" && !m.room(m.missing(v, w, spec)):
		return fault.NotRun(fault.NoMemory, "endpoint %q is full of busy replicas", m.set.Node).WithEndpoint(next)
	}
	return m.admitForecast(w, spec, r, next, now)
}

// missing returns the memory that a request's model and adapter would still take here.
func (m *Manager) missing(v *view.View, w Want, spec kinds.ModelSpec) int64 {
	var bytes int64
	r := m.replicas[w.Model]
	if r == nil || r.phase == dormant {
		bytes += spec.MemoryBytes
	}
	a, wanted := v.Adapter(w.Adapter)
	if wanted && (r == nil || r.adapters[w.Adapter] == nil || r.adapters[w.Adapter].phase == dormant) {
		bytes += a.Adapter.MemoryBytes
	}
	return bytes
}

// admitForecast refuses a request whose answer is forecast past its deadline, or sends it on where another slot is quicker.
func (m *Manager) admitForecast(w Want, spec kinds.ModelSpec, r *replica, next string, now time.Time) error {
	load := m.load(r, spec)
	known := pick.Replica{Loaded: load.Loaded, Running: load.Running, Queued: load.Queued, Capacity: load.Capacity, Service: load.Service, Cold: m.coldLeft(r, load.Cold, now)}
	wait := pick.Forecast(known)
	if load.Loaded && next != "" && pick.Widen(load.Queued+1, load.Capacity, load.Service, load.Cold) {
		return fault.NotRun(fault.Overloaded, "queue of model %q at endpoint %q is long", w.Model, m.set.Node).WithEndpoint(next)
	}
	if !pick.InTime(wait, load.Service, w.Deadline.Sub(now)) {
		return fault.NotRun(fault.DeadlineTooSoon, "model %q is expected to answer in %s, the deadline is in %s",
			w.Model, (wait + load.Service).Round(time.Millisecond), w.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait).WithEndpoint(next)
	}
	return nil
}

// next returns the endpoint of the slot after this one, or empty for none.
func (m *Manager) next(p plan.Plan, w Want) string {
	if w.Final {
		return ""
	}
	after := false
	for _, s := range p.Active() {
		if after {
			return s.Endpoint
		}
		after = s.Endpoint == m.set.Node
	}
	if !after && len(p.Active()) > 0 {
		return p.Active()[0].Endpoint
	}
	return ""
}

// coldLeft returns the expected rest of a load.
func (m *Manager) coldLeft(r *replica, cold time.Duration, now time.Time) time.Duration {
	if r != nil && r.phase == loading {
		return max(0, cold-now.Sub(r.lastWake))
	}
	return cold
}

// granted builds the grant of a request that was let run.
func (m *Manager) granted(r *replica, w Want, cold bool) Grant {
	began := time.Now()
	released := false
	release := func() {
		now := time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		if released {
			return
		}
		released = true
		r.service = blend(r.service, now.Sub(began))
		m.finish(r, w, now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := r.name
	if a := r.adapters[w.Adapter]; a != nil {
		name = a.name
	}
	return Grant{Item: name, Cold: cold, Release: release}
}

// finish frees the place of a request.
func (m *Manager) finish(r *replica, w Want, now time.Time) {
	r.end(now)
	if r.running == 0 {
		r.quietSince = now
	}
	if w.Class == kinds.Patient {
		r.patient--
	}
	if a := r.adapters[w.Adapter]; a != nil {
		a.end(now)
	}
	m.reconcile(now)
}

// Load returns what the agent tells of a model with its replies.
func (m *Manager) Load(model string) wire.Load {
	res, ok := m.holder.View().Model(model)
	if !ok {
		return wire.Load{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load(m.replicas[model], *res.Model)
}

func (m *Manager) load(r *replica, spec kinds.ModelSpec) wire.Load {
	l := wire.Load{Capacity: spec.Slots(), Cold: spec.ColdStart.Std()}
	if r == nil {
		return l
	}
	if r.loadTime > 0 {
		l.Cold = r.loadTime
	}
	l.Loaded, l.Running, l.Queued, l.Service = r.phase == loaded, r.running, r.queue.Len(), r.service
	return l
}
