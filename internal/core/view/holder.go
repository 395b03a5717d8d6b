package view

import (
	"context"
	"sync"
	"sync/atomic"
)

// Holder is the place where a node keeps its newest View.
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

// Apply moves to the view after the delta and reports whether anything was newer.
func (h *Holder) Apply(d Delta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	next := old.With(d)
	if next == old {
		return false
	}
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns the newest view and a channel that closes at the next change.
func (h *Holder) Changed() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}

// Wait returns once the view is newer than the revision, or with the context's error.
func (h *Holder) Wait(ctx context.Context, revision int64) error {
	for {
		v, changed := h.Changed()
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
