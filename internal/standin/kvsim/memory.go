package kvsim

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// Faults are the fault switches of the stand-in store.
type Faults struct {
	// Away makes every call fail without effect.
	Away bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the share of writes that take effect but return an error.
	LoseAnswers float64
	// StaleBy makes reads return the state that many revisions ago, as after a
	// failover to a lagging replica.
	StaleBy int64
	// MuteWatches withholds events without ending the watches.
	MuteWatches bool
}

// Calls counts the calls by kind.
type Calls struct {
	Reads, Writes, Watches, Leases int64
}

type logEntry struct {
	store.Event
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// MemoryStore is an in-memory store with fault switches. It implements store.Store.
type MemoryStore struct {
	mu          sync.Mutex
	revision    int64
	current     map[string]store.KV
	log         []logEntry
	leases      map[int64]lease
	lastLeaseID int64
	faults      Faults
	calls       Calls
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
	rnd     *rand.Rand
	// compactedRevision is the revision up to which the history is discarded.
	compactedRevision int64
}

var errUnavailable = errors.New("the store is away")

// NewMemoryStore returns an empty store; the seed determines which answers LoseAnswers affects.
func NewMemoryStore(seed uint64) *MemoryStore {
	return &MemoryStore{
		current: map[string]store.KV{}, leases: map[int64]lease{}, revision: 1,
		changed: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the fault switches.
func (m *MemoryStore) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wakeWatches()
}

// Faults returns the fault switches.
func (m *MemoryStore) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns the number of calls so far.
func (m *MemoryStore) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// startCall counts a call, waits for the Delay fault, and returns an error while
// the Away fault is set.
func (m *MemoryStore) startCall(ctx context.Context, count *int64) error {
	m.mu.Lock()
	f := m.faults
	*count++
	m.mu.Unlock()
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
func (m *MemoryStore) Range(ctx context.Context, prefix string) (store.List, error) {
	if err := m.startCall(ctx, &m.calls.Reads); err != nil {
		return store.List{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	state, revision := m.readableState()
	list := store.List{Revision: revision}
	for key, kv := range state {
		if strings.HasPrefix(key, prefix) {
			list.KVs = append(list.KVs, kv)
		}
	}
	slices.SortFunc(list.KVs, func(a, b store.KV) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Get returns one key.
func (m *MemoryStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if err := m.startCall(ctx, &m.calls.Reads); err != nil {
		return store.KV{}, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	state, _ := m.readableState()
	kv, ok := state[key]
	return kv, ok, nil
}

// readableState returns the state that reads see and its revision; while StaleBy
// is set, that is an earlier state rebuilt from the log.
func (m *MemoryStore) readableState() (map[string]store.KV, int64) {
	if m.faults.StaleBy == 0 {
		return m.current, m.revision
	}
	staleRevision := max(1, m.revision-m.faults.StaleBy)
	old := map[string]store.KV{}
	for _, c := range m.log {
		if c.Revision > staleRevision {
			break
		}
		if c.Deleted {
			delete(old, c.Key)
			continue
		}
		old[c.Key] = c.KV
	}
	return old, staleRevision
}

// Commit runs a transaction.
func (m *MemoryStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	if err := m.startCall(ctx, &m.calls.Writes); err != nil {
		return store.Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	for _, p := range t.Puts {
		if _, ok := m.leases[p.Lease]; p.Lease != 0 && !ok {
			return store.Result{}, &fault.NotFoundError{Key: "lease"}
		}
	}
	res := m.apply(t)
	if m.faults.LoseAnswers > 0 && m.rnd.Float64() < m.faults.LoseAnswers {
		return store.Result{}, &fault.Unavailable{Service: "store", Err: errors.New("answer lost"), MayHaveApplied: true}
	}
	return res, nil
}

func (m *MemoryStore) apply(t store.Txn) store.Result {
	comparesHold := true
	var found []store.KV
	for _, c := range t.If {
		kv, ok := m.current[c.Key]
		if ok {
			found = append(found, kv)
		}
		comparesHold = comparesHold && kv.Revision == c.Revision
	}
	if !comparesHold {
		return store.Result{Revision: m.revision, Current: found}
	}
	if len(t.Puts)+len(t.Deletes) > 0 {
		m.revision++
	}
	for _, p := range t.Puts {
		m.record(store.Event{KV: store.KV{Key: p.Key, Value: slices.Clone(p.Value), Revision: m.revision, Lease: p.Lease}})
	}
	for _, d := range t.Deletes {
		if _, ok := m.current[d]; ok {
			m.record(store.Event{KV: store.KV{Key: d, Revision: m.revision}, Deleted: true})
		}
	}
	m.wakeWatches()
	return store.Result{Succeeded: true, Revision: m.revision}
}

func (m *MemoryStore) record(e store.Event) {
	if e.Deleted {
		delete(m.current, e.Key)
	} else {
		m.current[e.Key] = e.KV
	}
	m.log = append(m.log, logEntry{e})
}

// wakeWatches makes all watches check for events and faults.
func (m *MemoryStore) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// expireLeases removes expired leases and deletes their keys.
func (m *MemoryStore) expireLeases() {
	now := time.Now()
	for id, l := range m.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(m.leases, id)
		var keys []string
		for key, kv := range m.current {
			if kv.Lease == id {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		m.apply(store.Txn{Deletes: keys})
	}
}

// Grant returns a new lease.
func (m *MemoryStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := m.startCall(ctx, &m.calls.Leases); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLeaseID++
	m.leases[m.lastLeaseID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return m.lastLeaseID, nil
}

// KeepAlive renews a lease; it returns false if the lease does not exist.
func (m *MemoryStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	if err := m.startCall(ctx, &m.calls.Leases); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l, ok := m.leases[id]
	if ok {
		m.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	return ok, nil
}

// Release ends a lease and deletes its keys.
func (m *MemoryStore) Release(ctx context.Context, id int64) error {
	if err := m.startCall(ctx, &m.calls.Leases); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; ok {
		m.leases[id] = lease{}
		m.expireLeases()
	}
	return nil
}

// Compact discards the history up to the current revision. Watches that are
// behind it fail with store.Compacted and have to read everything again.
func (m *MemoryStore) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedRevision = m.revision
	m.wakeWatches()
}

// Watch calls fn with the changes under the prefix after a revision until the
// context ends, fn fails, or the store is unavailable.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	if err := m.startCall(ctx, &m.calls.Watches); err != nil {
		return err
	}
	for {
		m.mu.Lock()
		if m.faults.Away {
			m.mu.Unlock()
			return &fault.Unavailable{Service: "store watch", Err: errUnavailable}
		}
		if after < m.compactedRevision {
			m.mu.Unlock()
			return &store.Compacted{Revision: after}
		}
		batch, changed := m.eventsSince(prefix, after), m.changed
		m.mu.Unlock()
		if len(batch.Events) > 0 {
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

// eventsSince returns the events under the prefix after a revision; none while
// MuteWatches or StaleBy is set.
func (m *MemoryStore) eventsSince(prefix string, after int64) store.Batch {
	batch := store.Batch{Revision: m.revision}
	if m.faults.MuteWatches || m.faults.StaleBy > 0 {
		return batch
	}
	first, _ := slices.BinarySearchFunc(m.log, after+1, func(c logEntry, rev int64) int { return int(c.Revision - rev) })
	for _, c := range m.log[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			batch.Events = append(batch.Events, c.Event)
		}
	}
	return batch
}

var _ store.Store = (*MemoryStore)(nil)

// ValueIgnoringFaults returns a key's value regardless of faults and without counting a call.
func (m *MemoryStore) ValueIgnoringFaults(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.current[key]
	return kv.Value, ok
}
