package kvsim

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

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
	// lost is set if the lease is gone, while its keys stay until it expires.
	lost bool
}

// MemoryStore is an in-memory store with fault switches. It implements store.Store.
type MemoryStore struct {
	mu sync.Mutex
	// era counts the returns from a copy, from 1.
	era         int64
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
		current: map[string]store.KV{}, leases: map[int64]lease{}, era: 1, revision: 1,
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

// Range returns the keys with a prefix.
func (m *MemoryStore) Range(ctx context.Context, prefix string) (store.List, error) {
	return m.namedCall().Range(ctx, prefix)
}

// Get returns one key.
func (m *MemoryStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	return m.namedCall().Get(ctx, key)
}

// Commit runs a transaction.
func (m *MemoryStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	return m.namedCall().Commit(ctx, t)
}

// Grant returns a new lease.
func (m *MemoryStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	return m.namedCall().Grant(ctx, ttl)
}

// KeepAlive renews a lease; it returns false if the lease does not exist.
func (m *MemoryStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	return m.namedCall().KeepAlive(ctx, id)
}

// Release ends a lease and deletes its keys.
func (m *MemoryStore) Release(ctx context.Context, id int64) error {
	return m.namedCall().Release(ctx, id)
}

// Watch calls fn with the changes under the prefix after a revision until the
// context ends, fn fails, or the store is unavailable.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	return m.namedCall().Watch(ctx, prefix, after, fn)
}

// Compact discards the history up to the current revision. Watches that are
// behind it fail with store.Compacted and have to read everything again.
func (m *MemoryStore) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedRevision = m.revision
	m.wakeWatches()
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
