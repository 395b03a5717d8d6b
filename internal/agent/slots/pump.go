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
	"foxtailcroft/internal/policy/keep"
)

// reconcile brings every replica towards what the view, the queues and the clock ask.
func (m *Manager) reconcile(now time.Time) {
	if m.closed {
		return
	}
	v := m.holder.View()
	m.adopt(v, now)
	m.follow(v)
	for model, r := range m.replicas {
		m.step(v, model, r, now)
	}
	for _, s := range m.strays {
		if s.phase == loaded && m.confirmed && !m.deposed {
			m.unload(s, nil)
		}
	}
}

// follow makes records of the slots that a newer view shows here.
func (m *Manager) follow(v *view.View) {
	if v == m.followed {
		return
	}
	m.followed = v
	for model, res := range v.Models() {
		if _, here := m.slot(v, model); here {
			m.replica(model, *res.Model)
		}
	}
}

// adopt turns strays that have an active slot into replicas, where the replica's own load is not under way.
func (m *Manager) adopt(v *view.View, now time.Time) {
	for name, s := range m.strays {
		if name.Adapter != "" || s.phase != loaded {
			continue
		}
		res, ok := v.Model(name.Model)
		slot, here := m.slot(v, name.Model)
		if !ok || !here || slot.State != plan.Active || res.Model.Version != name.Version {
			continue
		}
		r := m.replica(name.Model, *res.Model)
		if r.phase != dormant {
			continue
		}
		r.name, r.bytes, r.phase, r.idleSince, r.quietSince, r.settled = name, s.bytes, loaded, now, now, now
		delete(m.strays, name)
	}
}

// step moves one replica.
func (m *Manager) step(v *view.View, model string, r *replica, now time.Time) {
	slot, here := m.slot(v, model)
	_, declared := v.Model(model)
	r.releasing = !here || slot.State != plan.Active || !declared
	if r.releasing {
		m.refuseWaiting(v, r)
	}
	m.pump(v, r, now)
	if r.phase == dormant && r.queue.Len() == 0 && !here {
		delete(m.replicas, model)
		return
	}
	if r.phase != loaded || r.running > 0 || r.busyAdapters() {
		return
	}
	outdated := r.name.Version != r.spec.Version
	if r.releasing || outdated || (r.quiet() && !m.wanted(v, model, r, now)) {
		m.sleep(r)
	}
}

// refuseWaiting sends the waiting requests of a slot that is being released elsewhere.
func (m *Manager) refuseWaiting(v *view.View, r *replica) {
	next := m.next(v.Plan(plan.ModelKey(r.name.Model)), Want{})
	for t := r.queue.Pop(anyTicket); t != nil; t = r.queue.Pop(anyTicket) {
		t.Ready(fault.NotRun(fault.NoSlot, "the slot of model %q at endpoint %q is being released", r.name.Model, m.set.Node).WithEndpoint(next))
	}
}

func anyTicket(*queue.Ticket) bool { return true }

// wanted reports whether a quiet replica is to stay loaded.
func (m *Manager) wanted(v *view.View, model string, r *replica, now time.Time) bool {
	if m.eager(v, model, r) {
		return true
	}
	policy := v.Policy(r.spec.Policy)
	keepFor := keep.Alive(&r.gaps, keep.Costs{ColdWait: r.crowd.Wait(m.coldTime(r)), Price: policy.ColdStartPrice, Max: policy.MaxKeepAlive.Std()})
	return now.Sub(r.quietSince) < keepFor
}

func (m *Manager) coldTime(r *replica) time.Duration {
	if r.loadTime > 0 {
		return r.loadTime
	}
	return r.spec.ColdStart.Std()
}

// eager reports whether the slot here is among the model's first MinReplicas.
func (m *Manager) eager(v *view.View, model string, r *replica) bool {
	for i, s := range v.Plan(plan.ModelKey(model)).Active() {
		if s.Endpoint == m.set.Node {
			return i < r.spec.MinReplicas
		}
	}
	return false
}

// pump lets waiting requests run and starts the loads that they need.
func (m *Manager) pump(v *view.View, r *replica, now time.Time) {
	model := r.name.Model
	if r.phase == dormant && now.After(r.retryAt) && m.mayLoad(v, model) {
		if r.queue.Len() > 0 || m.eager(v, model, r) {
			m.wake(r)
		}
	}
	if r.phase != loaded || r.name.Version != r.spec.Version {
		return
	}
	r.queue.Each(func(t *queue.Ticket) { m.needAdapter(v, r, t, now) })
	for {
		t := r.queue.Pop(func(t *queue.Ticket) bool {
			return queue.Fits(t.Class, r.running, r.patient, r.spec.Slots()) && m.adapterReady(r, t.Adapter)
		})
		if t == nil {
			return
		}
		m.start(r, t, now)
	}
}

// start lets one request run.
func (m *Manager) start(r *replica, t *queue.Ticket, now time.Time) {
	r.begin(now)
	if t.Class == kinds.Patient {
		r.patient++
	}
	if a := r.adapters[t.Adapter]; a != nil {
		a.begin(now)
	}
	t.Ready(nil)
}

func (m *Manager) adapterReady(r *replica, adapter string) bool {
	if adapter == "" {
		return true
	}
	a := r.adapters[adapter]
	return a != nil && a.phase == loaded
}

// needAdapter starts the load of the adapter that a waiting request needs.
func (m *Manager) needAdapter(v *view.View, r *replica, t *queue.Ticket, now time.Time) {
	if t.Adapter == "" || r.releasing {
		return
	}
	res, ok := v.Adapter(t.Adapter)
	if !ok {
		return
	}
	a := r.adapters[t.Adapter]
	if a == nil {
		a = &item{}
		r.adapters[t.Adapter] = a
	}
	want := engine.Item{Model: r.name.Model, Adapter: t.Adapter, Version: res.Adapter.Version}
	if a.phase == loaded && a.name != want && a.running == 0 {
		m.unload(a, r)
		return
	}
	if a.phase != dormant || !now.After(r.retryAt) || m.deposed || !m.confirmed || m.strayOf(r.name.Model) {
		return
	}
	a.name, a.bytes = want, res.Adapter.MemoryBytes
	if m.makeRoom(a.bytes, r) {
		m.order(a, r, t.Deadline, t.Class.Rank())
	}
}

// wake loads the base model if it fits, or makes room first.
func (m *Manager) wake(r *replica) {
	if m.strayOf(r.name.Model) {
		return
	}
	r.name, r.bytes = engine.Item{Model: r.name.Model, Version: r.spec.Version}, r.spec.MemoryBytes
	if !m.makeRoom(r.bytes, r) {
		return
	}
	deadline, rank := time.Now().Add(m.set.OrderTimeout), kinds.Patient.Rank()
	r.queue.Each(func(t *queue.Ticket) {
		if t.Deadline.Before(deadline) {
			deadline = t.Deadline
		}
		rank = min(rank, t.Class.Rank())
	})
	m.order(&r.item, r, deadline, rank)
}

// strayOf reports whether a replica of the model, at any version, is in the
// engine without this agent's order; loading another beside it would make two of one slot.
func (m *Manager) strayOf(model string) bool {
	for name := range m.strays {
		if name.Model == model {
			return true
		}
	}
	return false
}

// makeRoom reports whether the bytes fit now; if not, it starts the unloads that will let them fit.
func (m *Manager) makeRoom(bytes int64, but *replica) bool {
	missing := m.used() + bytes - m.set.MemoryBytes
	if missing <= 0 {
		return true
	}
	missing -= m.leaving()
	if missing <= 0 {
		return false
	}
	for _, name := range evict.Choose(m.candidates(but), missing) {
		m.evict(name)
	}
	return false
}

// room reports whether the bytes fit if every idle item made way.
func (m *Manager) room(bytes int64) bool {
	missing := m.used() + bytes - m.set.MemoryBytes - m.leaving()
	if bytes == 0 || missing <= 0 {
		return true
	}
	for _, c := range m.candidates(nil) {
		missing -= c.Bytes
	}
	return missing <= 0
}

// leaving sums the memory of unloads under way.
func (m *Manager) leaving() int64 {
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

// wantedHorizon is how far ahead eviction looks for the next request.
const wantedHorizon = 2 * time.Minute

// candidates returns the quiet replicas and idle adapters that may be unloaded.
func (m *Manager) candidates(but *replica) []evict.Candidate {
	now := time.Now()
	v := m.holder.View()
	var out []evict.Candidate
	for _, r := range m.replicas {
		if r == but || r.phase != loaded || !r.quiet() || r.busyAdapters() {
			continue
		}
		if m.eager(v, r.name.Model, r) {
			continue
		}
		bytes := r.bytes
		for _, a := range r.adapters {
			if a.phase == loaded {
				bytes += a.bytes
			}
		}
		out = append(out, evict.Candidate{
			Name: r.name.Model, Bytes: bytes, ColdStart: m.coldTime(r), LastUsed: r.idleSince,
			WantedSoon: r.gaps.ShareWithin(now.Sub(r.idleSince), wantedHorizon),
		})
	}
	return append(out, m.adapterCandidates(but)...)
}

// adapterCandidates returns the idle adapters of replicas that themselves stay.
func (m *Manager) adapterCandidates(but *replica) []evict.Candidate {
	var out []evict.Candidate
	for _, r := range m.replicas {
		if r != but && r.quiet() {
			continue
		}
		for name, a := range r.adapters {
			if a.phase == loaded && a.running == 0 && !m.awaited(r, name) {
				out = append(out, evict.Candidate{Name: r.name.Model + adapterMark + name, Bytes: a.bytes, ColdStart: a.loadTime, LastUsed: a.idleSince, WantedSoon: 1})
			}
		}
	}
	return out
}

// adapterMark separates a model's and an adapter's name in a candidate's name.
const adapterMark = "+"

func (m *Manager) awaited(r *replica, adapter string) bool {
	found := false
	r.queue.Each(func(t *queue.Ticket) { found = found || t.Adapter == adapter })
	return found
}
