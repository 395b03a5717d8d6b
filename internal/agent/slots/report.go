package slots

import (
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/wire"
)

// IsReleased reports whether a slot is released, and if not, why. It is released
// when the view no longer shows it as active, this agent controls the endpoint,
// and the engine holds nothing of the model.
func (m *Manager) IsReleased(model string, number int64) (bool, string) {
	v := m.holder.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.localSlot(v, model); ok && s.Number == number && s.State == plan.Active {
		return false, "the slot is active"
	}
	if !m.loadsAllowed || m.deposed {
		return false, "the endpoint is not taken over"
	}
	if m.hasStray(model) {
		return false, "a stray replica is being unloaded"
	}
	r := m.replicas[model]
	if r == nil {
		return true, ""
	}
	if r.phase != unloaded {
		m.reconcile(time.Now())
		return false, "the replica is " + r.phase.String()
	}
	for _, a := range r.adapters {
		if a.phase != unloaded {
			return false, "an adapter is " + a.phase.String()
		}
	}
	return true, ""
}

// FillReport fills in the memory, the queue length and the items of a report.
func (m *Manager) FillReport(out *wire.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out.MemoryBytes, out.UsedBytes, out.Cached = m.settings.MemoryBytes, m.usedBytes(), m.cacheTiers
	for _, r := range m.replicas {
		line := reportItem(&r.item, now)
		line.Model, line.Queued = r.name.Model, r.queue.Len()
		out.Queued += r.queue.Len()
		out.Items = append(out.Items, line)
		for _, a := range r.adapters {
			out.Items = append(out.Items, reportItem(a, now))
		}
	}
	for _, s := range m.strays {
		line := reportItem(s, now)
		line.State = "Stray"
		out.Items = append(out.Items, line)
	}
	slices.SortFunc(out.Items, func(a, b wire.Item) int {
		return strings.Compare(a.Model+adapterSeparator+a.Adapter, b.Model+adapterSeparator+b.Adapter)
	})
}

// reportItem returns an item's line of the report; its idle time counts up to now.
func reportItem(i *item, now time.Time) wire.Item {
	line := wire.Item{
		Model: i.name.Model, Adapter: i.name.Adapter, Version: i.name.Version, State: i.phase.String(), Bytes: i.bytes,
		Running: i.running, LastUsed: i.idleSince, LastWake: i.lastLoadStart, Loads: i.loadCount, Idle: i.idleTotal, ColdP99: p99(i.recentLoadTimes),
	}
	if i.phase == loaded && i.running == 0 {
		line.Idle += now.Sub(i.idleSince)
	}
	return line
}

// p99 returns the 99th percentile of the durations, 0 for none.
func p99(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[(len(sorted)*99+99)/100-1]
}
