package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
)

const (
	// retryPause is between tries at a store that does not answer; each try is priced.
	retryPause = 400 * time.Millisecond
	// firstRetryPause is the same while nothing is known yet.
	firstRetryPause = 100 * time.Millisecond
	// missingPause is between looks at the instances that may come back after an outage.
	missingPause = 100 * time.Millisecond
	// peerPause is between questions to other fronts while the store is away.
	peerPause = 250 * time.Millisecond
	// planningGather is the planner's pause after a watch has shown changes.
	planningGather = 60 * time.Millisecond
	// rereadEvery is how often the document is read linearizably beside the watch.
	rereadEvery = 5 * time.Second
)

// Peers asks other fronts for a view newer than a revision.
type Peers interface {
	Newer(ctx context.Context, revision int64) (store.List, bool)
}

// Follower keeps the newest state that the store or another front has shown.
type Follower struct {
	store   store.Store
	decoder Decoder
	layout  Layout
	times   Times
	self    string
	peers   Peers
	log     *zap.SugaredLogger
	state   atomic.Pointer[State]
	// changing is held while a new state is made; missing belongs to it.
	changing sync.Mutex
	mu       sync.Mutex
	// awaySince is when the store was last found away; zero while it answers.
	awaySince time.Time
	// backAt is when it answered again.
	backAt time.Time
	// missing are the keys of instances that lapsed around an outage and may come back.
	missing map[string]bool
}

// Times are the bounds that a deployment sets for its view.
type Times struct {
	// Returning is how long instances may take to come back after an outage of the store.
	Returning time.Duration
	// Gather is the pause after a watch has shown changes, for more of them to gather.
	Gather time.Duration
}

// New returns a follower with an empty state.
func New(self string, s store.Store, d Decoder, l Layout, t Times, log *zap.SugaredLogger) *Follower {
	f := &Follower{self: self, store: s, decoder: d, layout: l, times: t, log: log, missing: map[string]bool{}}
	f.state.Store(&State{Keys: map[string]store.KV{}, Instances: map[string]site.Instance{}, Fronts: map[string]Front{}, next: make(chan struct{})})
	return f
}

// SetPeers sets whom to ask while the store is away; call it before Run.
func (f *Follower) SetPeers(m Peers) {
	f.peers = m
}

// State returns the newest state.
func (f *Follower) State() *State {
	return f.state.Load()
}

// Away reports whether the store does not answer, or has answered again for less than a span.
func (f *Follower) Away(span time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.awaySince.IsZero() || time.Since(f.backAt) < span && !f.backAt.IsZero()
}

// Run reads and watches the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := f.readAll(ctx)
		if err != nil {
			f.away(err)
			wait := retryPause
			if f.State().Document == nil {
				wait = firstRetryPause
			}
			pause.For(ctx, wait)
			continue
		}
		f.back()
		f.replace(list)
		f.watch(ctx)
	}
}

// readAll reads every prefix; the revision is the lowest of them, so that a watch from there misses nothing.
func (f *Follower) readAll(ctx context.Context) (store.List, error) {
	var all store.List
	for _, prefix := range f.layout.Prefixes {
		list, err := f.store.Range(ctx, prefix)
		if err != nil {
			return store.List{}, err
		}
		if all.Revision == 0 || list.Revision < all.Revision {
			all.Revision = list.Revision
		}
		all.KVs = append(all.KVs, list.KVs...)
	}
	return all, nil
}

// watch follows changes until the history is lost; a store that does not answer is asked again from the same revision.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.probe(ctx) {
			pause.For(ctx, retryPause)
			continue
		}
		err := f.store.Watch(ctx, "", f.State().Revision, func(b store.Batch) error {
			f.back()
			f.apply(b)
			if len(b.Events) > 0 {
				pause.For(ctx, f.gather())
			}
			return nil
		})
		var compacted *store.Compacted
		if errors.As(err, &compacted) {
			f.log.Infow("history lost, reading all again", "Revision", compacted.Revision)
			return
		}
		if ctx.Err() == nil {
			f.away(err)
			pause.For(ctx, retryPause)
		}
	}
}

// probe asks a store that was away whether it answers again, as a watch would
// only tell so with the next change; false if it does not.
func (f *Follower) probe(ctx context.Context) bool {
	if !f.Away(0) {
		return true
	}
	if _, _, err := f.store.Get(ctx, f.layout.DocumentKey); err != nil {
		return false
	}
	f.back()
	return true
}

// gather is how long changes are left to gather before the next call, as each
// call is priced: the planner hears of loads that end, the others only have to
// hear of documents and leaving instances in time.
func (f *Follower) gather() time.Duration {
	if s := f.State(); s.Planner != nil && s.Planner.Name == f.self {
		return planningGather
	}
	return f.times.Gather
}

// RunReread reads the document linearizably now and then, in case a watch stays silent.
func (f *Follower) RunReread(ctx context.Context) {
	for pause.For(ctx, rereadEvery) {
		kv, ok, err := f.store.Get(ctx, f.layout.DocumentKey)
		if err != nil || !ok {
			continue
		}
		f.update(func(old *State) *State {
			if kv.Revision <= old.Keys[kv.Key].Revision {
				return old
			}
			f.log.Warnw("the watch missed a document", "Revision", kv.Revision, "Known", old.Keys[kv.Key].Revision)
			return f.derive(old, withEvents(old.Keys, []store.Event{{KV: kv}}), old.Revision)
		})
	}
}

// RunPeers asks other fronts for newer views while the store is away.
func (f *Follower) RunPeers(ctx context.Context) {
	for pause.For(ctx, peerPause) {
		if f.peers == nil || !f.Away(0) && f.State().Document != nil {
			continue
		}
		if list, ok := f.peers.Newer(ctx, f.State().Revision); ok {
			f.log.Infow("newer view from another front", "Revision", list.Revision)
			f.replace(list)
		}
	}
}

// RunMissing drops instances that did not come back after an outage.
func (f *Follower) RunMissing(ctx context.Context) {
	for pause.For(ctx, missingPause) {
		if f.Away(f.times.Returning) {
			continue
		}
		f.update(func(old *State) *State {
			keys := old.Keys
			for key := range f.missing {
				keys = withEvents(keys, []store.Event{{KV: store.KV{Key: key, Revision: old.Revision + 1}, Deleted: true}})
				delete(f.missing, key)
			}
			if len(keys) == len(old.Keys) {
				return old
			}
			return f.derive(old, keys, old.Revision)
		})
	}
}

// Snapshot returns all keys if they are newer than a revision.
func (f *Follower) Snapshot(after int64) (store.List, bool) {
	s := f.State()
	if s.Revision <= after {
		return store.List{}, false
	}
	list := store.List{Revision: s.Revision}
	for _, kv := range s.Keys {
		list.KVs = append(list.KVs, kv)
	}
	return list, true
}

func (f *Follower) away(err error) {
	f.mu.Lock()
	first := f.awaySince.IsZero()
	if first {
		f.awaySince = time.Now()
	}
	f.mu.Unlock()
	if first {
		f.log.Warnw("store away", "Error", err.Error())
	}
}

func (f *Follower) back() {
	f.mu.Lock()
	since := f.awaySince
	if !since.IsZero() {
		f.awaySince, f.backAt = time.Time{}, time.Now()
	}
	f.mu.Unlock()
	if !since.IsZero() {
		f.log.Infow("store answers again", "After", time.Since(since).String())
	}
}

// replace takes over a whole view if it is not older.
func (f *Follower) replace(list store.List) {
	f.update(func(old *State) *State {
		if list.Revision < old.Revision {
			return old
		}
		keys := make(map[string]store.KV, len(list.KVs))
		for _, kv := range list.KVs {
			if have, ok := old.Keys[kv.Key]; ok && have.Revision > kv.Revision {
				kv = have
			}
			keys[kv.Key] = kv
		}
		f.keepMissing(old, keys)
		return f.derive(old, keys, list.Revision)
	})
}

// apply takes over the changes that a watch has shown.
func (f *Follower) apply(b store.Batch) {
	f.update(func(old *State) *State {
		if len(b.Events) == 0 {
			if b.Revision <= old.Revision {
				return old
			}
			s := *old
			s.Revision = b.Revision
			s.next = make(chan struct{})
			return &s
		}
		keys := withEvents(old.Keys, b.Events)
		f.keepMissing(old, keys)
		return f.derive(old, keys, max(old.Revision, b.Revision))
	})
}

// keepMissing keeps the document, and the instances that vanished while the
// store was away or before those that lapsed had the time to come back.
func (f *Follower) keepMissing(old *State, keys map[string]store.KV) {
	if kv, ok := old.Keys[f.layout.DocumentKey]; ok && keys[f.layout.DocumentKey].Revision == 0 {
		keys[f.layout.DocumentKey] = kv
	}
	for _, in := range old.Instances {
		key := f.layout.InstancePrefix + in.ID
		if _, ok := keys[key]; ok {
			if keys[key].Revision != old.Keys[key].Revision {
				delete(f.missing, key)
			}
			continue
		}
		if in.Leaving || !f.Away(f.times.Returning) {
			continue
		}
		keys[key] = old.Keys[key]
		if !f.missing[key] {
			f.missing[key] = true
			f.log.Infow("announcement lapsed around an outage, kept for now", "Instance", in.ID)
		}
	}
}

// update replaces the state; waiters on the old one wake up.
func (f *Follower) update(change func(*State) *State) {
	f.changing.Lock()
	defer f.changing.Unlock()
	old := f.state.Load()
	s := change(old)
	if s == old {
		return
	}
	f.gone(old, s)
	f.state.Store(s)
	close(old.next)
}
