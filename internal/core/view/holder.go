package view

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder holds the newest View of a node and notifies waiters when it changes.
type Holder struct {
	current atomic.Pointer[View]
	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(Empty())
	return h
}

// View returns the newest view.
func (h *Holder) View() *View {
	return h.current.Load()
}

// ApplyDelta applies the delta to the view and reports whether it contained anything newer.
func (h *Holder) ApplyDelta(d Delta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	next := old.Apply(d)
	if next == old {
		return false
	}
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// ViewAndChange returns the newest view and a channel that is closed when the next one replaces it.
func (h *Holder) ViewAndChange() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}

// WaitNewer blocks until the view is newer than the revision. It returns the context's error if that ends first.
func (h *Holder) WaitNewer(ctx context.Context, revision int64) error {
	for {
		v, changed := h.ViewAndChange()
		if v.Revision() > revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
