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

// Request describes an inference request that asks to run on a replica.
type Request struct {
	Model    string
	Adapter  string
	Class    kinds.Class
	Deadline time.Time
	// Final forbids a redirect to another endpoint.
	Final bool
}

// Grant is the right to run one request on a loaded replica until Release is called.
type Grant struct {
	Item engine.Item
	// Cold is true if the model or the adapter was not loaded when the request arrived.
	Cold    bool
	Release func()
}

// Acquire waits until the request may run on the model's replica here, loading
// the replica if necessary. An error is the refusal of a request that did not run.
func (m *Manager) Acquire(ctx context.Context, req Request) (Grant, error) {
	result := make(chan error, 1)
	w := &queue.Waiter{Class: req.Class, Deadline: req.Deadline, Adapter: req.Adapter, Resolve: func(refusal error) { result <- refusal }}
	r, cold, err := m.enqueue(req, w)
	if err != nil {
		return Grant{}, err
	}
	select {
	case refusal := <-result:
		if refusal != nil {
			return Grant{}, refusal
		}
		return m.newGrant(r, req, cold), nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	wasQueued := r.queue.Remove(w)
	m.mu.Unlock()
	if !wasQueued {
		if refusal := <-result; refusal != nil {
			return Grant{}, refusal
		}
		m.newGrant(r, req, cold).Release()
	}
	return Grant{}, m.timeoutRefusal(ctx, r)
}

// timeoutRefusal returns the refusal of a request whose context ended while it was queued.
func (m *Manager) timeoutRefusal(ctx context.Context, r *replica) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cause := context.Cause(ctx); cause != ctx.Err() {
		return cause
	}
	if r.lastLoadError != "" {
		return fault.NotRun(fault.DeadlineExceeded, "model %q was not loaded in time: %s", r.name.Model, r.lastLoadError)
	}
	return fault.NotRun(fault.DeadlineExceeded, "no place on model %q came free in time", r.name.Model)
}

// enqueue adds an admitted request to the queue of its replica and reports
// whether it has to wait for a load.
func (m *Manager) enqueue(req Request, w *queue.Waiter) (*replica, bool, error) {
	v := m.holder.View()
	res, ok := v.Model(req.Model)
	if !ok {
		return nil, false, fault.NotRun(fault.NotFound, "model %q is not declared", req.Model)
	}
	if _, ok := v.Adapter(req.Adapter); req.Adapter != "" && !ok {
		return nil, false, fault.NotRun(fault.NotFound, "adapter %q is not declared", req.Adapter)
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := m.admit(v, req, *res.Model, now); refusal != nil {
		return nil, false, refusal
	}
	r := m.ensureReplica(req.Model, *res.Model)
	if !r.queue.Push(w, now) {
		return nil, false, fault.NotRun(fault.Overloaded, "%d requests wait for model %q", queue.MaxWaiting, req.Model).WithRetryAfter(r.meanServiceTime)
	}
	r.recordArrival(now, m.expectedLoadTime(r))
	cold := r.phase != loaded || !m.adapterLoaded(r, req.Adapter)
	if cold {
		r.coldRequestCount++
	}
	m.startQueued(v, r, now)
	return r, cold, nil
}

// recordArrival updates the arrival statistics for a request that has just been queued.
func (r *replica) recordArrival(now time.Time, loadTime time.Duration) {
	idle := r.running == 0 && r.queue.Len() == 1
	r.coldWaits.Arrival(now, idle, loadTime)
	if idle && !r.lastRequestEnd.IsZero() {
		r.idleGaps.Observe(now.Sub(r.lastRequestEnd))
	}
	r.requestCount++
}

// admit returns a refusal, with a redirect if possible, for a request that
// cannot be served here in time, else nil.
func (m *Manager) admit(v *view.View, req Request, spec kinds.ModelSpec, now time.Time) error {
	p := v.Plan(plan.ModelKey(req.Model))
	r := m.replicas[req.Model]
	replicaLoaded := r != nil && r.phase == loaded
	s, hasSlot := p.SlotAt(m.settings.Node)
	redirect := m.nextEndpoint(p, req)
	switch {
	case m.deposed || m.closed:
		return fault.NotRun(fault.Deposed, "another agent has taken over endpoint %q", m.settings.Node).WithEndpoint(redirect)
	case !hasSlot || s.State != plan.Active || (r != nil && r.releasing):
		return fault.NotRun(fault.NoSlot, "model %q has no active slot at endpoint %q", req.Model, m.settings.Node).WithEndpoint(redirect)
	case !replicaLoaded && !m.loadsAllowed:
		return fault.NotRun(fault.StoreAway, "endpoint %q has not read the plan since its start", m.settings.Node).WithEndpoint(redirect)
	case redirect != "" && !m.canFit(m.missingBytes(v, req, spec)):
		return fault.NotRun(fault.NoMemory, "endpoint %q is full of busy replicas", m.settings.Node).WithEndpoint(redirect)
	}
	return m.checkForecast(req, spec, r, redirect, now)
}

// missingBytes returns the memory needed to load what the request needs and is not loaded.
func (m *Manager) missingBytes(v *view.View, req Request, spec kinds.ModelSpec) int64 {
	var bytes int64
	r := m.replicas[req.Model]
	if r == nil || r.phase == unloaded {
		bytes += spec.MemoryBytes
	}
	a, declared := v.Adapter(req.Adapter)
	if declared && (r == nil || r.adapters[req.Adapter] == nil || r.adapters[req.Adapter].phase == unloaded) {
		bytes += a.Adapter.MemoryBytes
	}
	return bytes
}

// checkForecast refuses a request that is forecast to miss its deadline, and
// redirects one for which adding another replica is quicker than queueing here.
func (m *Manager) checkForecast(req Request, spec kinds.ModelSpec, r *replica, redirect string, now time.Time) error {
	load := m.replicaLoad(r, spec)
	replicaState := pick.Replica{Loaded: load.Loaded, Running: load.Running, Queued: load.Queued, Capacity: load.Capacity, ServiceTime: load.Service, ColdStart: m.remainingLoadTime(r, load.Cold, now)}
	wait := pick.ForecastWait(replicaState)
	if load.Loaded && redirect != "" && pick.ShouldForward(load.Queued+1, load.Capacity, load.Service, load.Cold) {
		return fault.NotRun(fault.Overloaded, "queue of model %q at endpoint %q is long", req.Model, m.settings.Node).WithEndpoint(redirect)
	}
	if !pick.MeetsDeadline(wait, load.Service, req.Deadline.Sub(now)) {
		return fault.NotRun(fault.DeadlineTooSoon, "model %q is expected to answer in %s, the deadline is in %s",
			req.Model, (wait + load.Service).Round(time.Millisecond), req.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait).WithEndpoint(redirect)
	}
	return nil
}

// nextEndpoint returns the endpoint of the active slot that follows this
// endpoint's, or of the first one if this endpoint has none; empty if there is
// none or the request is final.
func (m *Manager) nextEndpoint(p plan.Plan, req Request) string {
	if req.Final {
		return ""
	}
	passedSelf := false
	for _, s := range p.ActiveSlots() {
		if passedSelf {
			return s.Endpoint
		}
		passedSelf = s.Endpoint == m.settings.Node
	}
	if !passedSelf && len(p.ActiveSlots()) > 0 {
		return p.ActiveSlots()[0].Endpoint
	}
	return ""
}

// remainingLoadTime returns the expected time until the replica is loaded,
// given the expected time of a whole load.
func (m *Manager) remainingLoadTime(r *replica, loadTime time.Duration, now time.Time) time.Duration {
	if r != nil && r.phase == loading {
		return max(0, loadTime-now.Sub(r.lastLoadStart))
	}
	return loadTime
}

// newGrant returns the grant of a request that has been started.
func (m *Manager) newGrant(r *replica, req Request, cold bool) Grant {
	startedAt := time.Now()
	released := false
	release := func() {
		now := time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		if released {
			return
		}
		released = true
		r.meanServiceTime = movingAverage(r.meanServiceTime, now.Sub(startedAt))
		m.endRequest(r, req, now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := r.name
	if a := r.adapters[req.Adapter]; a != nil {
		name = a.name
	}
	return Grant{Item: name, Cold: cold, Release: release}
}

// endRequest records the end of a request and starts queued ones.
func (m *Manager) endRequest(r *replica, req Request, now time.Time) {
	r.endRequest(now)
	if r.running == 0 {
		r.lastRequestEnd = now
	}
	if req.Class == kinds.Patient {
		r.patientRunning--
	}
	if a := r.adapters[req.Adapter]; a != nil {
		a.endRequest(now)
	}
	m.reconcile(now)
}

// ReplicaLoad returns the load of the model's replica that the agent sends with its
// replies; zero if the model is not declared.
func (m *Manager) ReplicaLoad(model string) wire.Load {
	res, ok := m.holder.View().Model(model)
	if !ok {
		return wire.Load{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicaLoad(m.replicas[model], *res.Model)
}

// replicaLoad returns the load of a replica; r is nil if there is none. The caller holds the lock.
func (m *Manager) replicaLoad(r *replica, spec kinds.ModelSpec) wire.Load {
	l := wire.Load{Capacity: spec.ConcurrencyLimit(), Cold: spec.ColdStart.Std()}
	if r == nil {
		return l
	}
	if r.meanLoadTime > 0 {
		l.Cold = r.meanLoadTime
	}
	l.Loaded, l.Running, l.Queued, l.Service = r.phase == loaded, r.running, r.queue.Len(), r.meanServiceTime
	return l
}
