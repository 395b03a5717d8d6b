package slots

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
)

const (
	firstRetry = 500 * time.Millisecond
	maxRetry   = 15 * time.Second
)

// order starts the load of an item whose memory is already known to fit; from here on its bytes count as used.
func (m *Manager) order(i *item, r *replica, deadline time.Time, rank int) {
	i.phase = loading
	began := time.Now()
	i.lastWake = began
	m.log.Info("loading", zap.Stringer("Item", i.name), zap.Int64("Bytes", i.bytes))
	o := engine.Order{Item: i.name, Bytes: i.bytes, Fence: m.set.Epoch, Check: m.set.Check}
	m.group.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.set.OrderTimeout)
		defer cancel()
		done := m.permit.Permit(ctx, o.Item, rank, time.Until(deadline))
		err := m.engine.Load(ctx, o)
		done()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.loadEnded(i, r, err, time.Since(began))
	})
}

// loadEnded notes how a load went.
func (m *Manager) loadEnded(i *item, r *replica, err error, took time.Duration) {
	now := time.Now()
	if m.closed {
		return
	}
	var full *engine.NoMemory
	switch {
	case err == nil:
		i.loadedAfter(took, now)
		if r.quiet() && i == &r.item && r.quietSince.IsZero() {
			r.quietSince = now
		}
		r.failures, r.lastFail = 0, ""
		m.log.Info("loaded", zap.Stringer("Item", i.name), zap.Duration("Took", took))
	case m.noteFenced(err), errors.As(err, &full):
		// A refused order took no effect.
		i.phase, i.settled = dormant, now
		m.loadFailed(i, r, err, now)
	default:
		// The order may yet take effect, so the bytes stay counted until an unload is confirmed.
		m.loadFailed(i, r, err, now)
		m.unload(i, r)
	}
	m.reconcile(now)
}

// loadFailed delays the next try.
func (m *Manager) loadFailed(i *item, r *replica, err error, now time.Time) {
	m.log.Warn("load failed", zap.Stringer("Item", i.name), zap.Error(err))
	r.failures++
	r.lastFail = err.Error()
	r.retryAt = now.Add(min(maxRetry, firstRetry<<min(r.failures-1, 8)))
}

// noteFenced stops all orders if the engine has seen a newer epoch.
func (m *Manager) noteFenced(err error) bool {
	var fenced *engine.Fenced
	if !errors.As(err, &fenced) {
		return false
	}
	if !m.deposed {
		m.deposed = true
		m.log.Error("deposed by a newer agent", zap.Error(err))
		m.deposeFn()
	}
	return true
}

// sleep unloads a replica's adapters and then its base model; nothing runs on it.
func (m *Manager) sleep(r *replica) {
	waiting := false
	for _, a := range r.adapters {
		if a.phase == loaded {
			m.unload(a, r)
		}
		waiting = waiting || a.phase != dormant
	}
	if !waiting {
		m.unload(&r.item, r)
	}
}

// evict unloads a candidate by its name.
func (m *Manager) evict(name string) {
	model, adapter, isAdapter := strings.Cut(name, adapterMark)
	r := m.replicas[model]
	key := kinds.Key(kinds.Model, model)
	if isAdapter {
		key = kinds.Key(kinds.Adapter, adapter)
	}
	m.set.Note(audit.Record{Time: time.Now().UTC(), Actor: m.set.Node, Action: "Evicted", Key: key})
	if isAdapter {
		m.unload(r.adapters[adapter], r)
		return
	}
	m.sleep(r)
}

// unload starts an unload that is repeated until the engine confirms it; r is nil for a stray.
func (m *Manager) unload(i *item, r *replica) {
	if i.phase == loaded && i.running == 0 && !i.idleSince.IsZero() {
		i.idle += time.Since(i.idleSince)
	}
	i.phase = unloading
	m.log.Info("unloading", zap.Stringer("Item", i.name))
	o := engine.Order{Item: i.name, Bytes: i.bytes, Fence: m.set.Epoch, Check: m.set.Check}
	m.group.Go(func() {
		err := m.untilUnloaded(o)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.noteFenced(err) || err != nil {
			return
		}
		i.phase, i.settled = dormant, time.Now()
		if r == nil {
			delete(m.strays, i.name)
		}
		m.reconcile(time.Now())
	})
}

// untilUnloaded repeats an unload until it is confirmed, refused or the manager stops.
func (m *Manager) untilUnloaded(o engine.Order) error {
	for wait := firstRetry; ; wait = min(maxRetry, wait*2) {
		ctx, cancel := context.WithTimeout(m.ctx, m.set.OrderTimeout)
		err := m.engine.Unload(ctx, o)
		cancel()
		var fenced *engine.Fenced
		if err == nil || errors.As(err, &fenced) || m.ctx.Err() != nil {
			return err
		}
		m.log.Warn("unload not confirmed", zap.Stringer("Item", o.Item), zap.Error(err))
		select {
		case <-time.After(wait):
		case <-m.ctx.Done():
			return m.ctx.Err()
		}
	}
}

// fenceItem is never loaded; unloading it only shows the engine a new fencing number.
var fenceItem = engine.Item{Model: "foxtailcroft-fence", Version: "0"}

// Recover reads back what the engine holds from before this agent and counts it
// until it is adopted or unloaded. It first shows the engine the new epoch, so
// that an engine that checks fencing numbers refuses a predecessor's order
// which arrives after the reading, and waits out such an order for the others.
func (m *Manager) Recover(ctx context.Context, epoch int64) error {
	if err := m.engine.Unload(ctx, engine.Order{Item: fenceItem, Fence: epoch, Check: m.set.Check}); err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.noteFenced(err)
		return err
	}
	if !pause.For(ctx, m.set.ReportLag+m.set.Grace) {
		return ctx.Err()
	}
	return m.ReadBack(ctx)
}

// ReadBack counts what the engine holds and no replica accounts for as strays.
func (m *Manager) ReadBack(ctx context.Context) error {
	asked := time.Now()
	report, err := m.engine.Report(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cached = report.Cached
	held := map[engine.Item]bool{}
	for _, h := range report.Held {
		held[h.Item] = true
		m.noteHeld(h, asked)
	}
	for name, s := range m.strays {
		if !held[name] && s.phase != unloading {
			delete(m.strays, name)
		}
	}
	m.reconcile(time.Now())
	return nil
}

// noteHeld counts one reported item that is not accounted for as a stray; a
// stray whose load is under way counts, but is not touched until it has ended.
func (m *Manager) noteHeld(h engine.Held, asked time.Time) {
	if s := m.strays[h.Item]; s != nil {
		if s.phase == loading && !h.Loading {
			s.phase = loaded
		}
		return
	}
	if m.accounted(h.Item, asked.Add(-m.set.ReportLag)) {
		return
	}
	m.log.Warn("engine holds an item that was not ordered", zap.Stringer("Item", h.Item))
	s := &item{name: h.Item, bytes: h.Bytes, phase: loaded, idleSince: asked}
	if h.Loading {
		s.phase = loading
	}
	m.strays[h.Item] = s
}

// accounted reports whether an item is known, or was so recently that a report as old as since may still show it.
func (m *Manager) accounted(name engine.Item, since time.Time) bool {
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
	return i.phase != dormant || i.settledAfter(since)
}

// settledAfter reports whether an order for the item ended after a time.
func (i *item) settledAfter(t time.Time) bool {
	return i.settled.After(t)
}
