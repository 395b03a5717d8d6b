package slots

import (
	"time"

	"foxtailcroft/internal/agent/queue"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/policy/evict"
	"foxtailcroft/internal/policy/idle"
)

// reconcile starts the loads, unloads and requests that the view, the queues and
// the time call for. The caller holds the lock.
func (m *Manager) reconcile(now time.Time) {
	if m.closed {
		return
	}
	v := m.holder.View()
	m.adoptStrays(v, now)
	m.addReplicas(v)
	for model, r := range m.replicas {
		m.reconcileReplica(v, model, r, now)
	}
	for _, s := range m.strays {
		if s.phase == loaded && m.loadsAllowed && !m.deposed {
			m.startUnload(s, nil)
		}
	}
}

// addReplicas creates the replicas of slots that a newer view shows here.
func (m *Manager) addReplicas(v *view.View) {
	if v == m.lastView {
		return
	}
	m.lastView = v
	for model, res := range v.Models() {
		if _, hasSlot := m.localSlot(v, model); hasSlot {
			m.ensureReplica(model, *res.Model)
		}
	}
}

// adoptStrays turns loaded strays of the declared version that have an active
// slot here into replicas, unless the replica is itself loaded or has an order in progress.
func (m *Manager) adoptStrays(v *view.View, now time.Time) {
	for name, s := range m.strays {
		if name.Adapter != "" || s.phase != loaded {
			continue
		}
		res, ok := v.Model(name.Model)
		slot, hasSlot := m.localSlot(v, name.Model)
		if !ok || !hasSlot || slot.State != plan.Active || res.Model.Version != name.Version {
			continue
		}
		r := m.ensureReplica(name.Model, *res.Model)
		if r.phase != unloaded {
			continue
		}
		r.name, r.bytes, r.phase, r.idleSince, r.lastRequestEnd, r.lastOrderEnd = name, s.bytes, loaded, now, now, now
		delete(m.strays, name)
	}
}

// reconcileReplica reconciles one replica: it starts queued requests and
// required loads, and unloads or removes the replica if it is no longer needed.
func (m *Manager) reconcileReplica(v *view.View, model string, r *replica, now time.Time) {
	slot, hasSlot := m.localSlot(v, model)
	_, declared := v.Model(model)
	r.releasing = !hasSlot || slot.State != plan.Active || !declared
	if r.releasing {
		m.refuseQueued(v, r)
	}
	m.startQueued(v, r, now)
	if r.phase == unloaded && r.queue.Len() == 0 && !hasSlot {
		delete(m.replicas, model)
		return
	}
	if r.phase != loaded || r.running > 0 || r.adapterOrderPending() {
		return
	}
	outdated := r.name.Version != r.spec.Version
	if r.releasing || outdated || (r.isIdle() && !m.keepLoaded(v, model, r, now)) {
		m.unloadReplica(r)
	}
}

// refuseQueued refuses the queued requests of a slot that is being released,
// redirecting them to another endpoint.
func (m *Manager) refuseQueued(v *view.View, r *replica) {
	redirect := m.nextEndpoint(v.Plan(plan.ModelKey(r.name.Model)), Request{})
	for w := r.queue.Pop(anyWaiter); w != nil; w = r.queue.Pop(anyWaiter) {
		w.Resolve(fault.NotRun(fault.NoSlot, "the slot of model %q at endpoint %q is being released", r.name.Model, m.settings.Node).WithEndpoint(redirect))
	}
}

func anyWaiter(*queue.Waiter) bool { return true }

// keepLoaded reports whether an idle replica is to stay loaded: it is one of the
// model's MinReplicas, or its keep-alive time has not passed.
func (m *Manager) keepLoaded(v *view.View, model string, r *replica, now time.Time) bool {
	if m.isMinReplica(v, model, r) {
		return true
	}
	policy := v.Policy(r.spec.Policy)
	keepAlive := idle.KeepAlive(&r.idleGaps, idle.Costs{ColdWait: r.coldWaits.Wait(m.expectedLoadTime(r)), ColdStartPrice: policy.ColdStartPrice, MaxKeepAlive: policy.MaxKeepAlive.Std()})
	return now.Sub(r.lastRequestEnd) < keepAlive
}

// expectedLoadTime returns the mean load time of the replica, or the model's
// declared ColdStart before the first load.
func (m *Manager) expectedLoadTime(r *replica) time.Duration {
	if r.meanLoadTime > 0 {
		return r.meanLoadTime
	}
	return r.spec.ColdStart.Std()
}

// isMinReplica reports whether the slot here is among the model's first MinReplicas
// active ones, which stay loaded without requests.
func (m *Manager) isMinReplica(v *view.View, model string, r *replica) bool {
	for i, s := range v.Plan(plan.ModelKey(model)).ActiveSlots() {
		if s.Endpoint == m.settings.Node {
			return i < r.spec.MinReplicas
		}
	}
	return false
}

// startQueued starts queued requests as far as the concurrency limits allow, and
// the loads that the others wait for.
func (m *Manager) startQueued(v *view.View, r *replica, now time.Time) {
	model := r.name.Model
	if r.phase == unloaded && now.After(r.retryAt) && m.mayLoad(v, model) {
		if r.queue.Len() > 0 || m.isMinReplica(v, model, r) {
			m.loadReplica(r)
		}
	}
	if r.phase != loaded || r.name.Version != r.spec.Version {
		return
	}
	r.queue.Each(func(w *queue.Waiter) { m.ensureAdapter(v, r, w, now) })
	for {
		w := r.queue.Pop(func(w *queue.Waiter) bool {
			return queue.MayStart(w.Class, r.running, r.patientRunning, r.spec.ConcurrencyLimit()) && m.adapterLoaded(r, w.Adapter)
		})
		if w == nil {
			return
		}
		m.startRequest(r, w, now)
	}
}

// startRequest starts one queued request.
func (m *Manager) startRequest(r *replica, w *queue.Waiter, now time.Time) {
	r.beginRequest(now)
	if w.Class == kinds.Patient {
		r.patientRunning++
	}
	if a := r.adapters[w.Adapter]; a != nil {
		a.beginRequest(now)
	}
	w.Resolve(nil)
}

// adapterLoaded reports whether the adapter is loaded; true for an empty name.
func (m *Manager) adapterLoaded(r *replica, adapter string) bool {
	if adapter == "" {
		return true
	}
	a := r.adapters[adapter]
	return a != nil && a.phase == loaded
}

// ensureAdapter loads the adapter that a queued request needs, first unloading
// an idle one of another version, unless that is not possible now.
func (m *Manager) ensureAdapter(v *view.View, r *replica, w *queue.Waiter, now time.Time) {
	if w.Adapter == "" || r.releasing {
		return
	}
	res, ok := v.Adapter(w.Adapter)
	if !ok {
		return
	}
	a := r.adapters[w.Adapter]
	if a == nil {
		a = &item{}
		r.adapters[w.Adapter] = a
	}
	want := engine.Item{Model: r.name.Model, Adapter: w.Adapter, Version: res.Adapter.Version}
	if a.phase == loaded && a.name != want && a.running == 0 {
		m.startUnload(a, r)
		return
	}
	if a.phase != unloaded || !now.After(r.retryAt) || m.deposed || !m.loadsAllowed || m.hasStray(r.name.Model) {
		return
	}
	a.name, a.bytes = want, res.Adapter.MemoryBytes
	if m.evictToFit(a.bytes, r) {
		m.startLoad(a, r, w.Deadline, w.Class.Rank())
	}
}

// loadReplica loads the base model if it fits; otherwise it starts evictions and
// is called again once they end.
func (m *Manager) loadReplica(r *replica) {
	if m.hasStray(r.name.Model) {
		return
	}
	r.name, r.bytes = engine.Item{Model: r.name.Model, Version: r.spec.Version}, r.spec.MemoryBytes
	if !m.evictToFit(r.bytes, r) {
		return
	}
	deadline, priority := time.Now().Add(m.settings.OrderTimeout), kinds.Patient.Rank()
	r.queue.Each(func(w *queue.Waiter) {
		if w.Deadline.Before(deadline) {
			deadline = w.Deadline
		}
		priority = min(priority, w.Class.Rank())
	})
	m.startLoad(&r.item, r, deadline, priority)
}

// hasStray reports whether the engine holds a stray of the model, at any version.
// Loading a replica beside it would put two replicas in one slot.
func (m *Manager) hasStray(model string) bool {
	for name := range m.strays {
		if name.Model == model {
			return true
		}
	}
	return false
}

// evictToFit reports whether the bytes fit the free memory now; if not, it
// starts the evictions after which they will fit. The replica exclude itself
// is not evicted, but its idle adapters may be.
func (m *Manager) evictToFit(bytes int64, exclude *replica) bool {
	shortfall := m.usedBytes() + bytes - m.settings.MemoryBytes
	if shortfall <= 0 {
		return true
	}
	shortfall -= m.unloadingBytes()
	if shortfall <= 0 {
		return false
	}
	for _, name := range evict.Choose(m.evictionCandidates(exclude), shortfall) {
		m.evict(name)
	}
	return false
}

// canFit reports whether the bytes would fit if every eviction candidate were unloaded.
func (m *Manager) canFit(bytes int64) bool {
	shortfall := m.usedBytes() + bytes - m.settings.MemoryBytes - m.unloadingBytes()
	if bytes == 0 || shortfall <= 0 {
		return true
	}
	for _, c := range m.evictionCandidates(nil) {
		shortfall -= c.Bytes
	}
	return shortfall <= 0
}

// unloadingBytes sums the memory of the items being unloaded.
func (m *Manager) unloadingBytes() int64 {
	var sum int64
	for _, r := range m.replicas {
		if r.phase == unloading {
			sum += r.bytes
		}
		for _, a := range r.adapters {
			if a.phase == unloading {
				sum += a.bytes
			}
		}
	}
	for _, s := range m.strays {
		if s.phase == unloading {
			sum += s.bytes
		}
	}
	return sum
}

// reuseHorizon is the time ahead for which eviction estimates the chance of a next request.
const reuseHorizon = 2 * time.Minute

// evictionCandidates returns the idle replicas other than exclude and the idle
// adapters that may be unloaded.
func (m *Manager) evictionCandidates(exclude *replica) []evict.Candidate {
	now := time.Now()
	v := m.holder.View()
	var out []evict.Candidate
	for _, r := range m.replicas {
		if r == exclude || r.phase != loaded || !r.isIdle() || r.adapterOrderPending() {
			continue
		}
		if m.isMinReplica(v, r.name.Model, r) {
			continue
		}
		bytes := r.bytes
		for _, a := range r.adapters {
			if a.phase == loaded {
				bytes += a.bytes
			}
		}
		out = append(out, evict.Candidate{
			Name: r.name.Model, Bytes: bytes, ColdStart: m.expectedLoadTime(r), LastUsed: r.idleSince,
			ReuseProbability: r.idleGaps.ShareWithin(now.Sub(r.idleSince), reuseHorizon),
		})
	}
	return append(out, m.adapterCandidates(exclude)...)
}

// adapterCandidates returns the idle adapters of replicas that are not
// candidates themselves: busy replicas and the replica exclude.
func (m *Manager) adapterCandidates(exclude *replica) []evict.Candidate {
	var out []evict.Candidate
	for _, r := range m.replicas {
		if r != exclude && r.isIdle() {
			continue
		}
		for name, a := range r.adapters {
			if a.phase == loaded && a.running == 0 && !m.adapterQueued(r, name) {
				out = append(out, evict.Candidate{Name: r.name.Model + adapterSeparator + name, Bytes: a.bytes, ColdStart: a.meanLoadTime, LastUsed: a.idleSince, ReuseProbability: 1})
			}
		}
	}
	return out
}

// adapterSeparator separates the model's name from the adapter's in a candidate's name.
const adapterSeparator = "+"

// adapterQueued reports whether a queued request needs the adapter.
func (m *Manager) adapterQueued(r *replica, adapter string) bool {
	found := false
	r.queue.Each(func(w *queue.Waiter) { found = found || w.Adapter == adapter })
	return found
}
