package platf

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

// Faults are the switches of the stand-in store.
type Faults struct {
	// Away makes every call fail without effect.
	Away bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the share of writes whose answer is lost after they took effect.
	LoseAnswers float64
	// StaleBy makes reads answer from the state that many revisions ago, as after a bad failover.
	StaleBy int64
	// MuteWatches stops events without ending the watches.
	MuteWatches bool
}

// Calls counts the calls of each sort.
type Calls struct {
	Reads, Writes, Watches, Leases int64
}

type change struct {
	store.Event
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Memory is an in-process store with fault switches; it implements store.Store.
type Memory struct {
	mu       sync.Mutex
	revision int64
	live     map[string]store.KV
	log      []change
	leases   map[int64]lease
	nextID   int64
	faults   Faults
	calls    Calls
	changed  chan struct{}
	rnd      *rand.Rand
	// compacted is the revision up to which the history is dropped.
	compacted int64
}

var errAway = errors.New("the store is away")

// NewMemory returns an empty store; the seed decides which answers are lost.
func NewMemory(seed uint64) *Memory {
	return &Memory{
		live: map[string]store.KV{}, leases: map[int64]lease{}, revision: 1,
		changed: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the fault switches.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wake()
}

// Faults returns the fault switches.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Calls returns the calls so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// begin waits out the delay and fails if the store is away.
func (m *Memory) begin(ctx context.Context, count *int64) error {
	m.mu.Lock()
	f := m.faults
	*count++
	m.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return &fault.Away{Part: "store", Err: ctx.Err(), Unsettled: true}
		}
	}
	if f.Away {
		return &fault.Away{Part: "store", Err: errAway, Unsettled: true}
	}
	return nil
}

// Range returns the keys with a prefix.
func (m *Memory) Range(ctx context.Context, prefix string) (store.List, error) {
	if err := m.begin(ctx, &m.calls.Reads); err != nil {
		return store.List{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	state, revision := m.state()
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
func (m *Memory) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if err := m.begin(ctx, &m.calls.Reads); err != nil {
		return store.KV{}, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	state, _ := m.state()
	kv, ok := state[key]
	return kv, ok, nil
}

// state returns the readable state, which is an old one while StaleBy is set.
func (m *Memory) state() (map[string]store.KV, int64) {
	if m.faults.StaleBy == 0 {
		return m.live, m.revision
	}
	until := max(1, m.revision-m.faults.StaleBy)
	old := map[string]store.KV{}
	for _, c := range m.log {
		if c.Revision > until {
			break
		}
		if c.Deleted {
			delete(old, c.Key)
			continue
		}
		old[c.Key] = c.KV
	}
	return old, until
}

// Commit runs a transaction.
func (m *Memory) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	if err := m.begin(ctx, &m.calls.Writes); err != nil {
		return store.Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	for _, p := range t.Puts {
		if _, ok := m.leases[p.Lease]; p.Lease != 0 && !ok {
			return store.Result{}, &fault.Missing{Key: "lease"}
		}
	}
	res := m.apply(t)
	if m.faults.LoseAnswers > 0 && m.rnd.Float64() < m.faults.LoseAnswers {
		return store.Result{}, &fault.Away{Part: "store", Err: errors.New("answer lost"), Unsettled: true}
	}
	return res, nil
}

func (m *Memory) apply(t store.Txn) store.Result {
	holds := true
	var found []store.KV
	for _, c := range t.If {
		kv, ok := m.live[c.Key]
		if ok {
			found = append(found, kv)
		}
		holds = holds && kv.Revision == c.Revision
	}
	if !holds {
		return store.Result{Revision: m.revision, Found: found}
	}
	if len(t.Puts)+len(t.Deletes) > 0 {
		m.revision++
	}
	for _, p := range t.Puts {
		m.set(store.Event{KV: store.KV{Key: p.Key, Value: slices.Clone(p.Value), Revision: m.revision, Lease: p.Lease}})
	}
	for _, d := range t.Deletes {
		if _, ok := m.live[d]; ok {
			m.set(store.Event{KV: store.KV{Key: d, Revision: m.revision}, Deleted: true})
		}
	}
	m.wake()
	return store.Result{Succeeded: true, Revision: m.revision}
}

func (m *Memory) set(e store.Event) {
	if e.Deleted {
		delete(m.live, e.Key)
	} else {
		m.live[e.Key] = e.KV
	}
	m.log = append(m.log, change{e})
}

// wake lets the watches look again.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// expire deletes the keys of expired leases.
func (m *Memory) expire() {
	now := time.Now()
	for id, l := range m.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(m.leases, id)
		var keys []string
		for key, kv := range m.live {
			if kv.Lease == id {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		m.apply(store.Txn{Deletes: keys})
	}
}

// Grant returns a new lease.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := m.begin(ctx, &m.calls.Leases); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	m.leases[m.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return m.nextID, nil
}

// KeepAlive renews a lease.
func (m *Memory) KeepAlive(ctx context.Context, id int64) (bool, error) {
	if err := m.begin(ctx, &m.calls.Leases); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	l, ok := m.leases[id]
	if ok {
		m.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	return ok, nil
}

// Release ends a lease; its keys are removed.
func (m *Memory) Release(ctx context.Context, id int64) error {
	if err := m.begin(ctx, &m.calls.Leases); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; ok {
		m.leases[id] = lease{}
		m.expire()
	}
	return nil
}

// Compact drops the history up to now; watches that are behind have to read all again.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = m.revision
	m.wake()
}

// Watch calls fn for changes under the prefix after a revision.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	if err := m.begin(ctx, &m.calls.Watches); err != nil {
		return err
	}
	for {
		m.mu.Lock()
		if m.faults.Away {
			m.mu.Unlock()
			return &fault.Away{Part: "store watch", Err: errAway}
		}
		if after < m.compacted {
			m.mu.Unlock()
			return &store.Compacted{Revision: after}
		}
		batch, changed := m.since(prefix, after), m.changed
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

// since returns the events under the prefix after a revision.
func (m *Memory) since(prefix string, after int64) store.Batch {
	batch := store.Batch{Revision: m.revision}
	if m.faults.MuteWatches || m.faults.StaleBy > 0 {
		return batch
	}
	first, _ := slices.BinarySearchFunc(m.log, after+1, func(c change, rev int64) int { return int(c.Revision - rev) })
	for _, c := range m.log[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			batch.Events = append(batch.Events, c.Event)
		}
	}
	return batch
}

var _ store.Store = (*Memory)(nil)

// Peek returns a key's value past all faults and without counting a call.
func (m *Memory) Peek(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.live[key]
	return kv.Value, ok
}
