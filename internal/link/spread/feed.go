package spread

import (
	"context"
	"strings"

	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/store"
)

// Load reads the whole configuration from the store, linearizably, into the
// holder. It reports false if the store answered from a state older than the
// holder's.
func Load(ctx context.Context, s store.Store, holder *view.Holder) (bool, error) {
	list, err := s.Range(ctx, store.StatePrefix)
	if err != nil {
		return false, err
	}
	d := view.Delta{Revision: list.Revision, Full: true}
	for _, kv := range list.KVs {
		d.Entries = append(d.Entries, Entry(strings.TrimPrefix(kv.Key, store.StatePrefix), kv.Value, kv.Revision, false))
	}
	if list.Revision < holder.View().Revision() {
		return false, nil
	}
	holder.Apply(d)
	return true, nil
}

// Feed watches the store and applies each change to the holder until the context ends or the watch fails.
func Feed(ctx context.Context, s store.Store, holder *view.Holder) error {
	if _, err := Load(ctx, s, holder); err != nil {
		return err
	}
	return s.Watch(ctx, store.StatePrefix, holder.View().Revision(), func(b store.Batch) error {
		d := view.Delta{Revision: b.Revision}
		for _, e := range b.Events {
			d.Entries = append(d.Entries, Entry(strings.TrimPrefix(e.Key, store.StatePrefix), e.Value, e.Revision, e.Deleted))
		}
		holder.Apply(d)
		return nil
	})
}
