package slots

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
)

// Bounds of the exponential backoff after failed loads and unconfirmed unloads.
const (
	initialRetryDelay = 500 * time.Millisecond
	maxRetryDelay     = 15 * time.Second
)

// startLoad orders the load of an item that fits the free memory; its bytes count as used from now on.
func (m *Manager) startLoad(i *item, r *replica, deadline time.Time, priority int) {
	i.phase = loading
	startedAt := time.Now()
	i.lastLoadStart = startedAt
	m.log.Info("loading", zap.Stringer("Item", i.name), zap.Int64("Bytes", i.bytes))
	o := engine.Order{Item: i.name, Bytes: i.bytes, Fence: m.settings.Epoch, Authorize: m.settings.CheckEpoch}
	m.group.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.settings.OrderTimeout)
		defer cancel()
		returnPermit := m.permits.AcquirePermit(ctx, o.Item, priority, time.Until(deadline))
		err := m.engine.Load(ctx, o)
		returnPermit()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finishLoad(i, r, err, time.Since(startedAt))
	})
}

// finishLoad records the outcome of a load.
func (m *Manager) finishLoad(i *item, r *replica, err error, took time.Duration) {
	now := time.Now()
	if m.closed {
		return
	}
	var noMemory *engine.OutOfMemory
	switch {
	case err == nil:
		i.recordLoad(took, now)
		if r.isIdle() && i == &r.item && r.lastRequestEnd.IsZero() {
			r.lastRequestEnd = now
		}
		r.loadFailures, r.lastLoadError = 0, ""
		m.log.Info("loaded", zap.Stringer("Item", i.name), zap.Duration("Took", took))
	case m.handleFenced(err), errors.As(err, &noMemory):
		// The engine refused the order, so it had no effect.
		i.phase, i.lastOrderEnd = unloaded, now
		m.scheduleLoadRetry(i, r, err, now)
	default:
		// The order may still take effect, so the bytes count as used until an unload is confirmed.
		m.scheduleLoadRetry(i, r, err, now)
		m.startUnload(i, r)
	}
	m.reconcile(now)
}

// scheduleLoadRetry records a failed load and delays the next one by an exponential backoff.
func (m *Manager) scheduleLoadRetry(i *item, r *replica, err error, now time.Time) {
	m.log.Warn("load failed", zap.Stringer("Item", i.name), zap.Error(err))
	r.loadFailures++
	r.lastLoadError = err.Error()
	r.retryAt = now.Add(min(maxRetryDelay, initialRetryDelay<<min(r.loadFailures-1, 8)))
}

// handleFenced reports whether the engine refused the order because it has seen
// a newer epoch, and if so stops all further loads.
func (m *Manager) handleFenced(err error) bool {
	var fenced *engine.Fenced
	if !errors.As(err, &fenced) {
		return false
	}
	if !m.deposed {
		m.deposed = true
		m.log.Error("engine refused the fencing token: a newer agent owns the endpoint; stopping all orders", zap.Error(err))
		m.onDeposed()
	}
	return true
}

// unloadReplica unloads an idle replica: first its adapters and, once none is
// left, the base model. It is called again as the unloads end.
func (m *Manager) unloadReplica(r *replica) {
	adaptersLeft := false
	for _, a := range r.adapters {
		if a.phase == loaded {
			m.startUnload(a, r)
		}
		adaptersLeft = adaptersLeft || a.phase != unloaded
	}
	if !adaptersLeft {
		m.startUnload(&r.item, r)
	}
}

// evict unloads an eviction candidate, given by its name, and records the eviction in the audit trail.
func (m *Manager) evict(candidate string) {
	model, adapter, isAdapter := strings.Cut(candidate, adapterSeparator)
	r := m.replicas[model]
	key := kinds.ResourceKey(kinds.Model, model)
	if isAdapter {
		key = kinds.ResourceKey(kinds.Adapter, adapter)
	}
	m.settings.RecordEviction(audit.Record{Time: time.Now().UTC(), Actor: m.settings.Node, Action: "Evicted", Key: key})
	if isAdapter {
		m.startUnload(r.adapters[adapter], r)
		return
	}
	m.unloadReplica(r)
}

// startUnload starts an unload that is retried until the engine confirms it; r is nil for a stray.
func (m *Manager) startUnload(i *item, r *replica) {
	if i.phase == loaded && i.running == 0 && !i.idleSince.IsZero() {
		i.idleTotal += time.Since(i.idleSince)
	}
	i.phase = unloading
	m.log.Info("unloading", zap.Stringer("Item", i.name))
	o := engine.Order{Item: i.name, Bytes: i.bytes, Fence: m.settings.Epoch, Authorize: m.settings.CheckEpoch}
	m.group.Go(func() {
		err := m.unloadWithRetry(o)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.handleFenced(err) || err != nil {
			return
		}
		i.phase, i.lastOrderEnd = unloaded, time.Now()
		if r == nil {
			delete(m.strays, i.name)
		}
		m.reconcile(time.Now())
	})
}

// unloadWithRetry retries an unload with exponential backoff until the engine
// confirms it or refuses the fencing token, or the manager stops.
func (m *Manager) unloadWithRetry(o engine.Order) error {
	for delay := initialRetryDelay; ; delay = min(maxRetryDelay, delay*2) {
		ctx, cancel := context.WithTimeout(m.ctx, m.settings.OrderTimeout)
		err := m.engine.Unload(ctx, o)
		cancel()
		var fenced *engine.Fenced
		if err == nil || errors.As(err, &fenced) || m.ctx.Err() != nil {
			return err
		}
		m.log.Warn("engine did not confirm an unload; retrying", zap.Stringer("Item", o.Item), zap.Error(err))
		select {
		case <-time.After(delay):
		case <-m.ctx.Done():
			return m.ctx.Err()
		}
	}
}

// fenceItem is never loaded; unloading it only makes the new fencing token known to the engine.
var fenceItem = engine.Item{Model: "foxtailcroft-fence", Version: "0"}

// Recover reads back what the engine holds from before this agent started and
// counts it as used until it is adopted or unloaded. It first sends the engine
// the new epoch, so that an engine that checks fencing tokens refuses orders of
// the previous agent that arrive after the read. It then waits for ReportLag
// and OldOrderGrace, since other engines still accept such orders.
func (m *Manager) Recover(ctx context.Context, epoch int64) error {
	if err := m.engine.Unload(ctx, engine.Order{Item: fenceItem, Fence: epoch, Authorize: m.settings.CheckEpoch}); err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.handleFenced(err)
		return err
	}
	if !sleep.For(ctx, m.settings.ReportLag+m.settings.OldOrderGrace) {
		return ctx.Err()
	}
	return m.ReadBack(ctx)
}

// ReadBack reads the engine's report and records as strays the items that no replica accounts for.
func (m *Manager) ReadBack(ctx context.Context) error {
	requestedAt := time.Now()
	report, err := m.engine.Report(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cacheTiers = report.Cached
	reported := map[engine.Item]bool{}
	for _, h := range report.Items {
		reported[h.Item] = true
		m.recordReported(h, requestedAt)
	}
	for name, s := range m.strays {
		if !reported[name] && s.phase != unloading {
			delete(m.strays, name)
		}
	}
	m.reconcile(time.Now())
	return nil
}

// recordReported records a reported item that no replica accounts for as a
// stray. A stray that is still loading counts as used, but is neither adopted
// nor unloaded until its load has ended.
func (m *Manager) recordReported(h engine.LoadedItem, requestedAt time.Time) {
	if s := m.strays[h.Item]; s != nil {
		if s.phase == loading && !h.Loading {
			s.phase = loaded
		}
		return
	}
	if m.isAccounted(h.Item, requestedAt.Add(-m.settings.ReportLag)) {
		return
	}
	m.log.Warn("engine holds an item that this agent did not order; adopting or unloading it", zap.Stringer("Item", h.Item))
	s := &item{name: h.Item, bytes: h.Bytes, phase: loaded, idleSince: requestedAt}
	if h.Loading {
		s.phase = loading
	}
	m.strays[h.Item] = s
}

// isAccounted reports whether a replica accounts for the item, or did so after
// since, the time of the oldest state that the report may show.
func (m *Manager) isAccounted(name engine.Item, since time.Time) bool {
	r := m.replicas[name.Model]
	if r == nil {
		return false
	}
	i := &r.item
	if name.Adapter != "" {
		i = r.adapters[name.Adapter]
	}
	if i == nil || i.name != name {
		return false
	}
	return i.phase != unloaded || i.orderEndedAfter(since)
}

// orderEndedAfter reports whether the last load or unload of the item ended after t.
func (i *item) orderEndedAfter(t time.Time) bool {
	return i.lastOrderEnd.After(t)
}
