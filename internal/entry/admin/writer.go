package admin

import (
	"context"
	"encoding/json"
	"fmt"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/ledger"
	"foxtailcroft/internal/plat/store"
)

// Writer checks changes of resources and writes them to the store.
type Writer struct {
	store  store.Store
	ledger *ledger.Ledger
	holder *view.Holder
}

// NewWriter returns a writer to the store that checks references against the holder's view.
func NewWriter(s store.Store, l *ledger.Ledger, holder *view.Holder) *Writer {
	return &Writer{store: s, ledger: l, holder: holder}
}

// anyRevision is the expected revision of a write without If-Match.
const anyRevision int64 = -1

// Put writes a resource if it is valid and the stored one is at the expected
// revision, and returns it with its generation and revision. An unchanged spec
// isn't written. A dry run does all checks but doesn't write; it returns the
// generation that the write would give and the stored revision.
func (w *Writer) Put(ctx context.Context, actor string, r kinds.Resource, expected int64, dryRun bool) (kinds.Resource, error) {
	if err := kinds.Validate(r); err != nil {
		return r, err
	}
	if err := checkReferences(w.holder.View(), r); err != nil {
		return r, err
	}
	if err := w.checkKeys(ctx, r); err != nil {
		return r, err
	}
	old, kv, err := w.readStored(ctx, r.Key(), expected)
	if err != nil {
		return r, err
	}
	if err := checkChange(w.holder.View(), old, r); err != nil {
		return r, err
	}
	r = r.WithGeneration(old.Generation + 1).WithRevision(0)
	after, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	if equalSpecs(old, r) {
		return old.WithRevision(kv.Revision), nil
	}
	if dryRun {
		return r.WithRevision(kv.Revision), nil
	}
	action := "Update"
	if kv.Revision == 0 {
		action = "Create"
	}
	revision, err := w.ledger.Write(ctx, ledger.Change{Key: r.Key(), Before: kv.Value, After: after, From: kv.Revision, Actor: actor, Action: action})
	return r.WithRevision(revision), err
}

// Delete deletes a resource that no other refers to and that is at the expected
// revision. It returns the revision of the deletion, or for a dry run the stored one.
func (w *Writer) Delete(ctx context.Context, actor string, kind kinds.Kind, name string, expected int64, dryRun bool) (int64, error) {
	key := kinds.ResourceKey(kind, name)
	_, kv, err := w.readStored(ctx, key, expected)
	if err != nil {
		return 0, err
	}
	if kv.Revision == 0 {
		return 0, &fault.NotFoundError{Key: key}
	}
	if err := checkUnused(w.holder.View(), kind, name); err != nil || dryRun {
		return kv.Revision, err
	}
	return w.ledger.Write(ctx, ledger.Change{Key: key, Before: kv.Value, From: kv.Revision, Actor: actor, Action: "Delete"})
}

// readStored reads a resource and compares its revision with the expected one.
// A resource that isn't stored has revision 0.
func (w *Writer) readStored(ctx context.Context, key string, expected int64) (kinds.Resource, store.KV, error) {
	var old kinds.Resource
	kv, ok, err := w.store.Get(ctx, store.StatePrefix+key)
	if err != nil {
		return old, kv, err
	}
	if !ok {
		kv = store.KV{}
	} else if err := json.Unmarshal(kv.Value, &old); err != nil {
		return old, kv, fmt.Errorf("stored value of %s: %w", key, err)
	}
	if expected != anyRevision && expected != kv.Revision {
		return old, kv, &fault.RevisionConflict{Key: key, Expected: expected, Actual: kv.Revision}
	}
	return old, kv, nil
}

// equalSpecs reports whether two resources have the same kind and equal specs.
func equalSpecs(a, b kinds.Resource) bool {
	if a.Kind != b.Kind {
		return false
	}
	x, errX := json.Marshal(a.Spec())
	y, errY := json.Marshal(b.Spec())
	return errX == nil && errY == nil && string(x) == string(y)
}

// checkReferences refuses a resource that refers to an undeclared one, and a
// model and an adapter of the same name.
func checkReferences(v *view.View, r kinds.Resource) error {
	switch r.Kind {
	case kinds.Adapter:
		if _, ok := v.Model(r.Adapter.Model); !ok {
			return fieldError("Spec.Model", r.Adapter.Model, "names no declared Model")
		}
		if _, ok := v.Model(r.Name); ok {
			return fieldError("Name", r.Name, "is the name of a Model, which requests could not tell apart")
		}
	case kinds.Model:
		if _, ok := v.Adapter(r.Name); ok {
			return fieldError("Name", r.Name, "is the name of an Adapter, which requests could not tell apart")
		}
		if r.Model.Policy == "" || r.Model.Policy == kinds.DefaultPolicy {
			return nil
		}
		if _, ok := v.Entry(kinds.ResourceKey(kinds.Policy, r.Model.Policy)); !ok {
			return fieldError("Spec.Policy", r.Model.Policy, "names no declared Policy")
		}
	}
	return nil
}

// checkKeys refuses an account with a key of another one. It reads the accounts from the store,
// because the view may not have the newest yet.
func (w *Writer) checkKeys(ctx context.Context, r kinds.Resource) error {
	if r.Kind != kinds.Account {
		return nil
	}
	list, err := w.store.Range(ctx, store.StatePrefix+kinds.ResourceKey(kinds.Account, ""))
	if err != nil {
		return err
	}
	holders := map[string]string{}
	for _, kv := range list.KVs {
		var other kinds.Resource
		if err := json.Unmarshal(kv.Value, &other); err != nil {
			return fmt.Errorf("stored value of %s: %w", kv.Key, err)
		}
		if other.Name == r.Name {
			continue
		}
		for _, key := range other.Account.Keys {
			holders[key] = other.Name
		}
	}
	return kinds.CheckKeyHolders(r, holders)
}

// checkChange refuses a change to a service's number of claim partitions.
func checkChange(v *view.View, old, r kinds.Resource) error {
	if r.Kind != kinds.Service {
		return nil
	}
	// With another number of partitions, recorded idempotency keys would be looked
	// up in the wrong claim logs, also after a service of that name was deleted
	// and declared again.
	oldPartitions := len(v.Plan(plan.ClaimKey(r.Name)).Slots)
	if old.Service != nil {
		oldPartitions = old.Service.Partitions()
	}
	if oldPartitions == 0 || oldPartitions == r.Service.Partitions() {
		return nil
	}
	return fieldError("Spec.ClaimPartitions", fmt.Sprint(r.Service.ClaimPartitions), fmt.Sprintf("cannot change from %d", oldPartitions))
}

// checkUnused refuses to delete a resource that others refer to.
func checkUnused(v *view.View, kind kinds.Kind, name string) error {
	switch kind {
	case kinds.Model:
		for _, a := range v.Resources(kinds.Adapter) {
			if a.Adapter.Model == name {
				return fieldError("Name", name, fmt.Sprintf("is the base model of Adapter %q", a.Name))
			}
		}
	case kinds.Policy:
		for _, m := range v.Resources(kinds.Model) {
			if m.Model.Policy == name {
				return fieldError("Name", name, fmt.Sprintf("is the policy of Model %q", m.Name))
			}
		}
	}
	return nil
}

func fieldError(path, value, rule string) error {
	return &fault.InvalidFields{List: []fault.InvalidField{{Path: path, Value: value, Rule: rule}}}
}
