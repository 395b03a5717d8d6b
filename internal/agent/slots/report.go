package slots

import (
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/wire"
)

// Released reports whether a slot is released: the view no longer allows it,
// the agent may order, and the engine holds nothing of the model.
func (m *Manager) Released(model string, number int64) (bool, string) {
	v := m.holder.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.slot(v, model); ok && s.Number == number && s.State == plan.Active {
		return false, "the slot is active"
	}
	if !m.confirmed || m.deposed {
		return false, "the endpoint is not taken over"
	}
	if m.strayOf(model) {
		return false, "a stray replica is being unloaded"
	}
	r := m.replicas[model]
	if r == nil {
		return true, ""
	}
	if r.phase != dormant {
		m.reconcile(time.Now())
		return false, "the replica is " + r.phase.String()
	}
	for _, a := range r.adapters {
		if a.phase != dormant {
			return false, "an adapter is " + a.phase.String()
		}
	}
	return true, ""
}

// Describe fills in the slots' part of a report.
func (m *Manager) Describe(out *wire.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out.MemoryBytes, out.UsedBytes, out.Cached = m.set.MemoryBytes, m.used(), m.cached
	for _, r := range m.replicas {
		line := describe(&r.item, now)
		line.Model, line.Queued = r.name.Model, r.queue.Len()
		out.Queued += r.queue.Len()
		out.Items = append(out.Items, line)
		for _, a := range r.adapters {
			out.Items = append(out.Items, describe(a, now))
		}
	}
	for _, s := range m.strays {
		line := describe(s, now)
		line.State = "Stray"
		out.Items = append(out.Items, line)
	}
	slices.SortFunc(out.Items, func(a, b wire.Item) int {
		return strings.Compare(a.Model+adapterMark+a.Adapter, b.Model+adapterMark+b.Adapter)
	})
}

func describe(i *item, now time.Time) wire.Item {
	line := wire.Item{
		Model: i.name.Model, Adapter: i.name.Adapter, Version: i.name.Version, State: i.phase.String(), Bytes: i.bytes,
		Running: i.running, LastUsed: i.idleSince, LastWake: i.lastWake, Loads: i.loads, Idle: i.idle, ColdP99: p99(i.colds),
	}
	if i.phase == loaded && i.running == 0 {
		line.Idle += now.Sub(i.idleSince)
	}
	return line
}

// p99 returns the 99th percentile of load times.
func p99(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[(len(sorted)*99+99)/100-1]
}
