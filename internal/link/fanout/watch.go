package fanout

import (
	"context"
	"strings"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/store"
)

// LoadFromStore reads the whole configuration from the store with a linearizable read and
// applies it to the holder. It returns false, and applies nothing, if the
// store's revision is older than the holder's.
func LoadFromStore(ctx context.Context, s store.Store, holder *view.Holder) (bool, error) {
	list, err := s.Range(ctx, store.StatePrefix)
	if err != nil {
		return false, err
	}
	delta := view.Delta{Revision: list.Revision, Full: true}
	for _, kv := range list.KVs {
		delta.Entries = append(delta.Entries, NewEntry(strings.TrimPrefix(kv.Key, store.StatePrefix), kv.Value, kv.Revision, false))
	}
	if list.Revision < holder.View().Revision() {
		return false, nil
	}
	holder.ApplyDelta(delta)
	return true, nil
}

// WatchStore watches the store from the holder's revision and applies each change
// until the context ends or the watch fails. It reloads the whole configuration
// only if the store has compacted changes since that revision.
func WatchStore(ctx context.Context, s store.Store, holder *view.Holder) error {
	err := watch(ctx, s, holder)
	var compacted *store.Compacted
	if !fault.As(err, &compacted) {
		return err
	}
	if _, err := LoadFromStore(ctx, s, holder); err != nil {
		return err
	}
	return watch(ctx, s, holder)
}

func watch(ctx context.Context, s store.Store, holder *view.Holder) error {
	return s.Watch(ctx, store.StatePrefix, holder.View().Revision(), func(b store.Batch) error {
		d := view.Delta{Revision: b.Revision}
		for _, e := range b.Events {
			d.Entries = append(d.Entries, NewEntry(strings.TrimPrefix(e.Key, store.StatePrefix), e.Value, e.Revision, e.Deleted))
		}
		holder.ApplyDelta(d)
		return nil
	})
}
