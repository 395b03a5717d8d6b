package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/clock"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
)

const (
	// storeRetryInterval is the first pause between calls to a store that does not answer; each call has a cost.
	storeRetryInterval = 400 * time.Millisecond
	// startupRetryInterval replaces storeRetryInterval until a first document is known.
	startupRetryInterval = 100 * time.Millisecond
	// missingCheckInterval is the pause between checks for instances that did not return after an outage.
	missingCheckInterval = 100 * time.Millisecond
	// peerPollInterval is the pause between polls of other fronts while the store is unavailable.
	peerPollInterval = 250 * time.Millisecond
	// plannerBatchDelay is the planner's pause after a batch of changes, so that the next call returns more of them.
	plannerBatchDelay = 60 * time.Millisecond
	// rereadInterval is the period of linearizable reads of the document in addition to the watch.
	rereadInterval = 5 * time.Second
)

// View is what a front knows of the store's keys, complete up to its revision.
type View struct {
	store.List
	// Lacking are the revisions of the values that the front could not decode, by key; KVs may have
	// older values of these keys.
	Lacking map[string]int64 `json:",omitempty"`
	// Bulk are the large values that were left out, and From is the address of the front that has them.
	Bulk []BulkValue `json:",omitempty"`
	From string      `json:"-"`
	// Stable is true if the front has reached the store for Delays.ReturnGrace or longer, so that
	// instances that the view lacks are gone.
	Stable bool
	// Contact is what the fronts told that were asked for the view, also where none has a newer one.
	Contact Contact `json:"-"`
	// CompleteAge is the time since which changes of the store may be missing when the front was asked, nil if
	// it doesn't know.
	CompleteAge *time.Duration `json:"-"`
}

// Peers fetches views from other fronts.
type Peers interface {
	// FetchNewer returns a view newer than the revision; false if no front has one.
	FetchNewer(ctx context.Context, revision int64) (View, bool)
}

// Follower holds the newest state received from the store or from another front.
type Follower struct {
	store   store.Store
	decoder Decoder
	layout  Layout
	delays  Delays
	self    string
	peers   Peers
	log     *zap.SugaredLogger
	state   atomic.Pointer[State]
	// updateMu serializes state updates and guards missing.
	updateMu sync.Mutex
	mu       sync.Mutex
	outage   outage
	// random returns the random parts of pauses, numbers from 0 to 1.
	random func() float64
	// recoveredAt is the end of the last outage; zero if there was none.
	recoveredAt time.Time
	// relay fetches changes from other fronts of the domain; nil if this front always watches the store.
	relay        Relay
	domain       string
	maxParentAge time.Duration
	// ownWatchUntil is the time until which no other front is followed after one failed, and
	// parentFailures counts the failures; mu guards both.
	ownWatchUntil  time.Time
	parentFailures uint64
	// epoch identifies this process in cursors.
	epoch string
	// changes are the newest changes of the state, and changeNumber is the last one's number; updateMu guards both.
	changes      []change
	changeNumber int64
	// confirmedAt is when the store last answered, in Unix nanoseconds.
	confirmedAt atomic.Int64
	complete    completeness
	// missing holds the announcements, by key, that lapsed around an outage and may return, with
	// their revisions.
	missing map[string]int64
	// leaving holds the instances that have told callers that they leave; updateMu guards it.
	leaving map[site.InstanceKey]bool
	// successors are the incarnations found while the store was away, in the order in which they were
	// found, and forgottenSuccessors counts those of earlier outages; superseded gives the revisions of
	// the announcements of the instances that they replace, by ID. updateMu guards all three.
	successors          []Successor
	forgottenSuccessors int64
	superseded          map[string]int64
	eras                eraMemory
	// lost counts the watches in a row whose history the store had lost.
	lost   int
	proofs proofTracker
	waits  changeWaits
	// values fetches large values of other fronts, nil if they come with the changes.
	values ValueSource
	// readsDocumentApart is set where a document may take long on the link.
	readsDocumentApart bool
	packer             packer
	// rejections counts the values that could not be decoded, and rejectedValue holds an element after one.
	rejections    atomic.Uint64
	rejectedValue chan struct{}
}

// Delays holds the delays that a deployment configures.
type Delays struct {
	// ReturnGrace is how long after an outage of the store a lapsed instance may announce itself again.
	ReturnGrace time.Duration
	// BatchDelay is the pause after a batch of changes, so that the next call returns more of them.
	BatchDelay time.Duration
}

// New returns a follower with an empty state.
func New(self string, s store.Store, d Decoder, l Layout, t Delays, log *zap.SugaredLogger) *Follower {
	f := &Follower{self: self, store: s, decoder: d, layout: l, delays: t, log: log, missing: map[string]int64{}, leaving: map[site.InstanceKey]bool{}, superseded: map[string]int64{}, eras: newEraMemory(), random: rand.Float64, epoch: uuid.NewString(), rejectedValue: make(chan struct{}, 1)}
	f.proofs.SinceBoot, f.proofs.renewed = clock.SinceBoot, make(chan struct{})
	f.state.Store(&State{Keys: map[string]store.KV{}, Instances: map[string]site.Instance{}, Fronts: map[string]Front{}, replaced: make(chan struct{})})
	return f
}

// SetPeers sets the source of views while the store is unavailable; call it before Run.
func (f *Follower) SetPeers(p Peers) {
	f.peers = p
}

// State returns the newest state.
func (f *Follower) State() *State {
	return f.state.Load()
}

// Run reads and watches the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := f.proofs.SinceBoot()
		list, err := f.readAll(ctx)
		if err != nil {
			f.markUnavailable(err)
			f.awaitRetry(ctx)
			continue
		}
		f.markAvailable()
		f.replaceView(list, true)
		f.recordDocuments(fromList, list.KVs)
		f.proveByList(sent, list)
		f.recordComplete(sent, list.Revision)
		f.watch(ctx)
		f.awaitReread(ctx)
	}
}

// awaitReread waits before all keys are read again: not at all the first time that history is lost, and longer
// each time that it happens again before a watch was answered.
func (f *Follower) awaitReread(ctx context.Context) {
	if f.lost > 1 {
		sleep.For(ctx, min(maxRereadPause, storeRetryInterval<<min(f.lost-2, maxRereadDoublings)))
	}
}

const (
	// maxRereadPause bounds the pause before all keys are read again, and maxRereadDoublings how often it doubles.
	maxRereadPause     = time.Second
	maxRereadDoublings = 2
)

// readAll reads every prefix in one era and returns the lowest of their revisions, so that a watch from there
// misses no change. It begins anew if an era begins meanwhile.
func (f *Follower) readAll(ctx context.Context) (store.List, error) {
	var all store.List
	for i := 0; i < len(f.layout.Prefixes); i++ {
		list, err := f.store.Range(ctx, f.layout.Prefixes[i])
		if err != nil {
			return store.List{}, err
		}
		if i > 0 && store.EraOf(list.Revision) > store.EraOf(all.Revision) {
			all, i = store.List{}, -1
			continue
		}
		if all.Revision == 0 || list.Revision < all.Revision {
			all.Revision = list.Revision
		}
		all.KVs = append(all.KVs, list.KVs...)
	}
	return all, nil
}

// maxWatchFailures is the number of watches in a row that may end without a response before all keys are read anew.
const maxWatchFailures = 3

// watch applies changes until the store has compacted the history, or its watches fail while it
// answers other calls; after other errors it resumes at the same revision.
func (f *Follower) watch(ctx context.Context) {
	for failures := 0; ctx.Err() == nil && failures < maxWatchFailures; {
		f.followParents(ctx)
		if !f.probeStore(ctx) {
			f.awaitRetry(ctx)
			continue
		}
		began, answered := time.Now(), false
		err := f.watchOnce(ctx, &answered)
		if answered {
			failures = 0
		}
		if errors.Is(err, errFollowParent) {
			continue
		}
		var compacted *store.Compacted
		if errors.As(err, &compacted) {
			f.lost++
			f.countLost()
			f.log.Infow("history lost, reading all again", "Era", store.EraOf(compacted.Revision), "Revision", store.RevisionOf(compacted.Revision), "InARow", f.lost)
			return
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if f.answersAfter(ctx, err) {
			sleep.For(ctx, storeRetryInterval-time.Since(began))
			continue
		}
		f.awaitRetry(ctx)
	}
}

// watchOnce applies changes until a call fails or the front is to learn of them in another way; answered is
// set once the store has answered.
func (f *Follower) watchOnce(ctx context.Context, answered *bool) error {
	if f.readsDocumentApart {
		return f.watchApart(ctx, answered)
	}
	// paused is how long changes were left to gather before the call.
	var paused time.Duration
	return f.store.Watch(ctx, "", f.State().Revision, func(b store.Batch) error {
		*answered = true
		f.lost = 0
		f.markAvailable()
		f.applyBatch(b)
		f.proveByWatch(b)
		f.recordComplete(b.SentAt, b.Revision)
		f.recordWatch(b, paused)
		paused = 0
		if _, ok := f.parent(); ok {
			return errFollowParent
		}
		if len(b.Events) > 0 {
			// More changes have gathered while these were on their way.
			paused = max(0, f.batchDelay()-b.Transfer)
			sleep.For(ctx, paused)
		}
		return nil
	})
}

// answersAfter reports whether the store answers a read after a watch has ended with an error.
// A waiting watch may be cut at any time, so only an unanswered call begins an outage.
func (f *Follower) answersAfter(ctx context.Context, watchErr error) bool {
	if errors.Is(watchErr, context.DeadlineExceeded) {
		f.markUnavailable(watchErr)
		return false
	}
	if _, err := f.readDocument(ctx); err != nil {
		f.markUnavailable(err)
		return false
	}
	f.markAvailable()
	f.log.Debugw("watch ended, but the store answers", "Error", watchErr.Error())
	return true
}

// batchDelay returns the pause before the next watch call. Each call has a
// cost, so changes are batched: briefly on the planner, which must learn soon
// that loads have finished, and longer on other fronts, which only need
// documents and draining instances in time.
func (f *Follower) batchDelay() time.Duration {
	if s := f.State(); s.Planner != nil && s.Planner.Name == f.self {
		return plannerBatchDelay
	}
	if f.isFollowed() {
		return min(parentBatchDelay, f.delays.BatchDelay)
	}
	return f.delays.BatchDelay
}

// RunReread reads the document linearizably every rereadInterval, in case the watch drops changes. During
// an outage Run reads it.
func (f *Follower) RunReread(ctx context.Context) {
	for round := 1; sleep.For(ctx, rereadInterval); round++ {
		if !f.rereadDue(round) || f.hasReadDocument(rereadInterval) || f.Unavailable(0) || !f.HasNewestDocument() || f.isTransferring() {
			continue
		}
		known := f.documentRevision()
		if applied, err := f.readDocument(ctx); err == nil && applied {
			f.log.Warnw("document change missed by the watch; applied from a linearizable read", "Revision", f.documentRevision(), "Known", known)
		}
	}
}

// ApplyWritten applies a key that this front has written, ahead of the watch.
func (f *Follower) ApplyWritten(kv store.KV) {
	f.update(func(old *State) *State {
		if kv.Revision <= old.Keys[kv.Key].Revision {
			return old
		}
		return f.deriveState(old, applyEvents(old.Keys, []store.Event{{KV: kv}}), old.Revision)
	})
}

// RunMissingCheck removes instances that did not announce themselves after an outage.
func (f *Follower) RunMissingCheck(ctx context.Context) {
	for sleep.For(ctx, missingCheckInterval) {
		f.update(func(old *State) *State {
			if f.mayReturn(old) {
				return old
			}
			keys := old.Keys
			for key, revision := range f.missing {
				if keys[key].Revision == revision {
					keys = applyEvents(keys, []store.Event{{KV: store.KV{Key: key, Revision: revision + 1}, Deleted: true}})
				}
				delete(f.missing, key)
			}
			if changed := f.forgetOutdated() || f.keepsReplacements(old) || old.hasUnregisteredFronts(); !changed && len(keys) == len(old.Keys) && len(f.successors) == 0 {
				return old
			}
			f.forgetSuccessors()
			return f.deriveState(old, keys, old.Revision)
		})
	}
}

// Snapshot returns the keys that the store had at the state's revision, sorted, and the state; false if
// the state is not newer than the given revision. Snapshots of one state differ in View.Stable only.
func (f *Follower) Snapshot(after int64) (View, *State, bool) {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	s := f.State()
	if s.Revision <= after {
		return View{}, s, false
	}
	view := View{List: store.List{Revision: s.Revision}, Lacking: s.lackingKeys(), Stable: !f.mayReturn(s)}
	for key, kv := range s.Keys {
		if !f.isMissing(key, kv.Revision) {
			view.KVs = append(view.KVs, kv)
		}
	}
	slices.SortFunc(view.KVs, func(a, b store.KV) int { return strings.Compare(a.Key, b.Key) })
	return view, s, true
}

// isMissing reports whether the state has kept an announcement that is no longer in the store;
// the caller holds updateMu.
func (f *Follower) isMissing(key string, revision int64) bool {
	kept, ok := f.missing[key]
	return ok && kept == revision
}

// replaceView replaces all keys by those of list, unless list is older. With retain, instances that
// disappear around an outage are kept for a while.
func (f *Follower) replaceView(list store.List, retain bool) {
	f.replaceKeys(View{List: list}, retain)
}

// applyView replaces all keys by those of another front's view, unless that is older.
func (f *Follower) applyView(v View) {
	f.recordDocuments(fromView, v.KVs)
	f.replaceKeys(v, !v.Stable)
}

// replaceKeys is replaceView with a view that lacks the newest values of some keys.
func (f *Follower) replaceKeys(v View, retain bool) {
	list, lacking := v.List, lackingWith(v.Lacking, v.Bulk)
	f.update(func(old *State) *State {
		if list.Revision < old.Revision {
			return old
		}
		keys := make(map[string]store.KV, len(list.KVs))
		listed := make(map[string]bool, len(list.KVs))
		for _, kv := range list.KVs {
			listed[kv.Key] = true
			if have, ok := old.Keys[kv.Key]; ok && have.Revision > kv.Revision {
				kv = have
			}
			keys[kv.Key] = kv
		}
		for key, kv := range old.Keys {
			// Keys that this front wrote may be ahead of the view.
			if _, ok := keys[key]; !ok && (kv.Revision > list.Revision || lacking[key] > 0) {
				keys[key] = kv
			}
		}
		f.retainMissing(old, keys, list.Revision, retain)
		s := f.deriveState(old, keys, list.Revision)
		s.dropRejected(func(key string, r rejected) bool {
			return !listed[key] && lacking[key] == 0 && r.revision <= list.Revision
		})
		s.addLacking(v.Lacking)
		s.addBulk(v.Bulk, v.From)
		s.PlannerChangedAt = time.Now()
		return s
	})
}

// applyBatch applies the changes of one watch batch.
func (f *Follower) applyBatch(b store.Batch) {
	f.applyChanges(b, nil, "")
}

// applyChanges is applyBatch with large values that are left out and that the front at an address has.
func (f *Follower) applyChanges(b store.Batch, bulk []BulkValue, address string) {
	f.update(func(old *State) *State {
		if len(b.Events) == 0 && len(bulk) == 0 {
			if b.Revision <= old.Revision {
				return old
			}
			s := *old
			s.Revision = b.Revision
			s.replaced = make(chan struct{})
			return &s
		}
		keys := applyEvents(old.Keys, b.Events)
		f.retainMissing(old, keys, b.Revision, true)
		s := f.deriveState(old, keys, max(old.Revision, b.Revision))
		for _, e := range b.Events {
			if e.Deleted {
				s.dropRejected(func(key string, r rejected) bool { return key == e.Key && r.revision < e.Revision })
			}
		}
		s.addBulk(bulk, address)
		if slices.ContainsFunc(b.Events, func(e store.Event) bool { return e.Key == PlannerKey }) {
			s.PlannerChangedAt = time.Now()
		}
		return s
	})
}

// retainMissing restores in keys a document that is missing there and, if instances is set, the
// instances that disappeared during an outage, as an era began, or within Delays.ReturnGrace after it, unless
// they were draining; revision is that of the keys.
func (f *Follower) retainMissing(old *State, keys map[string]store.KV, revision int64, instances bool) {
	beginsEra := store.EraOf(revision) > store.EraOf(old.Revision)
	if kv, ok := old.Keys[f.layout.DocumentKey]; ok && keys[f.layout.DocumentKey].Revision == 0 {
		keys[f.layout.DocumentKey] = kv
	}
	if !instances || !beginsEra && !f.mayReturn(old) {
		return
	}
	for _, in := range old.Instances {
		key := f.layout.InstancePrefix + in.ID
		if _, ok := keys[key]; ok || in.Draining || isSuccessor(in) {
			continue
		}
		keys[key] = old.Keys[key]
		if !f.isMissing(key, keys[key].Revision) {
			f.missing[key] = keys[key].Revision
			f.log.Infow("announcement lapsed around an outage, kept for now", "Instance", in.ID)
		}
	}
}

// update replaces the state and wakes the waiters on State.Next of the old one.
func (f *Follower) update(change func(*State) *State) {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	old := f.state.Load()
	s := change(old)
	if s == old {
		return
	}
	f.logRemoved(old, s)
	f.packer.keepOld(old, s)
	f.keepChange(old, s)
	f.state.Store(s)
	close(old.replaced)
	if f.UnrepairedValues() > 0 {
		select {
		case f.rejectedValue <- struct{}{}:
		default:
		}
	}
}
