package kvsim

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// noNumber is the revision or lease number of no change and no lease.
const noNumber = -1

// Call is one call of a MemoryStore over a network: its revisions and numbers of leases are those of the era
// in which the store executes it, without that era. It implements store.Store.
type Call struct {
	// Era is the era of the call's response.
	Era    int64
	memory *MemoryStore
	// named tells that revisions are positions and that leases name their era.
	named bool
}

// Call returns a call.
func (m *MemoryStore) Call() *Call {
	return &Call{Era: m.Era(), memory: m}
}

// namedCall returns a call with positions and with leases that name their era.
func (m *MemoryStore) namedCall() *Call {
	return &Call{memory: m, named: true}
}

// lock locks the store, and notes its era.
func (c *Call) lock() {
	c.memory.mu.Lock()
	c.Era = c.memory.era
}

// toRevision returns the revision of a position in the era of the call.
func (c *Call) toRevision(position int64) int64 {
	switch {
	case !c.named:
		return position
	case store.EraOf(position) != c.Era:
		return noNumber
	}
	return store.RevisionOf(position)
}

// toNumber returns the number of a lease in the era of the call.
func (c *Call) toNumber(lease int64) int64 {
	switch {
	case !c.named || lease == 0:
		return lease
	case store.LeaseEra(lease) != c.Era:
		return noNumber
	}
	return store.LeaseNumber(lease)
}

// fromRevision returns the position of a revision.
func (c *Call) fromRevision(revision int64) int64 {
	if !c.named {
		return revision
	}
	return inEra(store.Position, c.Era, revision)
}

// fromNumber returns the lease with a number.
func (c *Call) fromNumber(number int64) int64 {
	if !c.named {
		return number
	}
	return inEra(store.Lease, c.Era, number)
}

func inEra(name func(era, number int64) (int64, error), era, number int64) int64 {
	out, err := name(era, number)
	if err != nil {
		panic(err)
	}
	return out
}

func (c *Call) fromKV(kv store.KV) store.KV {
	kv.Revision, kv.Lease = c.fromRevision(kv.Revision), c.fromNumber(kv.Lease)
	return kv
}

// start counts a call, waits for the Delay fault, and returns an error while
// the Away fault is set.
func (c *Call) start(ctx context.Context, count *int64) error {
	c.lock()
	f := c.memory.faults
	*count++
	c.memory.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return &fault.Unavailable{Service: "store", Err: ctx.Err(), MayHaveApplied: true}
		}
	}
	if f.Away {
		return &fault.Unavailable{Service: "store", Err: errUnavailable, MayHaveApplied: true}
	}
	return nil
}

// Range returns the keys with a prefix.
func (c *Call) Range(ctx context.Context, prefix string) (store.List, error) {
	m := c.memory
	if err := c.start(ctx, &m.calls.Reads); err != nil {
		return store.List{}, err
	}
	c.lock()
	defer m.mu.Unlock()
	m.expireLeases()
	state, revision := m.readableState()
	list := store.List{Revision: c.fromRevision(revision)}
	for key, kv := range state {
		if strings.HasPrefix(key, prefix) {
			list.KVs = append(list.KVs, c.fromKV(kv))
		}
	}
	slices.SortFunc(list.KVs, func(a, b store.KV) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Get returns one key.
func (c *Call) Get(ctx context.Context, key string) (store.KV, bool, error) {
	m := c.memory
	if err := c.start(ctx, &m.calls.Reads); err != nil {
		return store.KV{}, false, err
	}
	c.lock()
	defer m.mu.Unlock()
	m.expireLeases()
	state, _ := m.readableState()
	kv, ok := state[key]
	if !ok {
		return store.KV{}, false, nil
	}
	return c.fromKV(kv), true, nil
}

// Commit runs a transaction.
func (c *Call) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	m := c.memory
	if err := c.start(ctx, &m.calls.Writes); err != nil {
		return store.Result{}, err
	}
	c.lock()
	defer m.mu.Unlock()
	m.expireLeases()
	t.If, t.Puts = slices.Clone(t.If), slices.Clone(t.Puts)
	for i := range t.If {
		// That a key doesn't exist is required without an era.
		if t.If[i].Revision != 0 {
			t.If[i].Revision = c.toRevision(t.If[i].Revision)
		}
	}
	for i := range t.Puts {
		p := &t.Puts[i]
		p.Lease = c.toNumber(p.Lease)
		if l, ok := m.leases[p.Lease]; p.Lease != 0 && (!ok || l.lost) {
			return store.Result{}, &fault.NotFoundError{Key: "lease"}
		}
	}
	res := m.apply(t)
	if m.faults.LoseAnswers > 0 && m.rnd.Float64() < m.faults.LoseAnswers {
		return store.Result{}, &fault.Unavailable{Service: "store", Err: errors.New("answer lost"), MayHaveApplied: true}
	}
	res.Revision = c.fromRevision(res.Revision)
	for i, kv := range res.Current {
		res.Current[i] = c.fromKV(kv)
	}
	return res, nil
}

// Grant returns a new lease.
func (c *Call) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	m := c.memory
	if err := c.start(ctx, &m.calls.Leases); err != nil {
		return 0, err
	}
	c.lock()
	defer m.mu.Unlock()
	m.lastLeaseID++
	m.leases[m.lastLeaseID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return c.fromNumber(m.lastLeaseID), nil
}

// KeepAlive renews a lease; it returns false if the lease does not exist.
func (c *Call) KeepAlive(ctx context.Context, id int64) (bool, error) {
	m := c.memory
	if err := c.start(ctx, &m.calls.Leases); err != nil {
		return false, err
	}
	c.lock()
	defer m.mu.Unlock()
	m.expireLeases()
	number := c.toNumber(id)
	l, ok := m.leases[number]
	if !ok || l.lost {
		return false, nil
	}
	m.leases[number] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	return true, nil
}

// Release ends a lease and deletes its keys.
func (c *Call) Release(ctx context.Context, id int64) error {
	m := c.memory
	if err := c.start(ctx, &m.calls.Leases); err != nil {
		return err
	}
	c.lock()
	defer m.mu.Unlock()
	number := c.toNumber(id)
	if l, ok := m.leases[number]; ok && !l.lost {
		m.leases[number] = lease{}
		m.expireLeases()
	}
	return nil
}

// Watch calls fn with the changes under the prefix after a revision until the
// context ends, fn fails, or the store is unavailable.
func (c *Call) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	m := c.memory
	if err := c.start(ctx, &m.calls.Watches); err != nil {
		return err
	}
	for first := true; ; first = false {
		era := c.Era
		c.lock()
		if m.faults.Away || !c.named && !first && c.Era != era {
			m.mu.Unlock()
			return &fault.Unavailable{Service: "store watch", Err: errUnavailable}
		}
		from := c.toRevision(after)
		if from < m.compactedRevision || from > m.revision || from == noNumber {
			m.mu.Unlock()
			return &store.Compacted{Revision: after}
		}
		batch, changed := m.eventsSince(prefix, from), m.changed
		m.mu.Unlock()
		if len(batch.Events) > 0 {
			batch.Revision = c.fromRevision(batch.Revision)
			for i, e := range batch.Events {
				batch.Events[i].KV = c.fromKV(e.KV)
			}
			if err := fn(batch); err != nil {
				return err
			}
			after = batch.Revision
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var _ store.Store = (*Call)(nil)
