package follow

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/fresh"
)

const (
	// watchersPerDomain is the number of fronts in a failure domain that watch the store;
	// the other fronts of the domain follow one of them.
	watchersPerDomain = 2
	// slowLinkRatio is how many times faster than a slow link the fastest one of a failure domain is.
	slowLinkRatio = 4
	// relayWindow is how long a front that is followed waits for a change before it replies.
	relayWindow = 500 * time.Millisecond
	// ownWatchTime is how long a front watches the store itself after a parent failed. It does
	// not try the other parents first, because together they could fail for too long.
	ownWatchTime = 5 * time.Second
	// behindWatchTime is that time if the parent only is behind, as when both have just started.
	behindWatchTime = 500 * time.Millisecond
	// parentBatchDelay is the pause of a front that others follow after a batch of changes.
	parentBatchDelay = 600 * time.Millisecond
	// parentSwitchDelay is the pause before another parent is followed.
	parentSwitchDelay = 50 * time.Millisecond
	// maxKeptChanges bounds the changes that are kept for followers.
	maxKeptChanges = 128
	// followerRereadRatio is how much more seldom than a watcher a front that follows another reads the document itself.
	followerRereadRatio = 6
)

// Cursor is a position in the changes of one front's view.
type Cursor struct {
	// Epoch identifies the process that made the changes.
	Epoch  string
	Number int64
}

// Changes are changes of another front's view.
type Changes struct {
	// Next is the cursor after these changes.
	Next     Cursor
	Revision int64
	Events   []store.Event
	// Keys lists the revisions of all keys if the changes start from scratch. Events then
	// hold the keys that are newer than the revision that was asked for.
	Keys map[string]int64
	// Lacking are the revisions of the values that the front could not decode, by key, if the changes
	// start from scratch.
	Lacking map[string]int64 `json:",omitempty"`
	// Bulk are the large values that were left out of the events.
	Bulk []BulkValue `json:",omitempty"`
	// Age is the time since the store last answered.
	Age time.Duration
	// AnswerAge is the time from the store's last answer until the question for the changes was received,
	// nil if there was none.
	AnswerAge *time.Duration `json:",omitempty"`
	// CompleteAge is the time since which changes of the store may be missing when the question was received,
	// nil if the front doesn't know.
	CompleteAge *time.Duration `json:",omitempty"`
	// Proof is the front's proof that its document is current, nil if it has none or needs none.
	Proof *fresh.Statement `json:",omitempty"`
	// Available is false while the front can't reach the store.
	Available bool
	// Spent is the time from the question until this reply, and Waited that since the oldest change in it
	// was applied, 0 if the changes start from scratch.
	Spent  time.Duration `json:",omitempty"`
	Waited time.Duration `json:",omitempty"`
}

// ChangesRequest asks a front for the changes of its view after a cursor.
type ChangesRequest struct {
	After Cursor
	// Revision is the revision of the asking front's view.
	Revision int64
	Wait     time.Duration
	// ProofAge is the age of the asking front's proof that its document is current, nil if it has none.
	ProofAge *time.Duration `json:",omitempty"`
	// Bulk is true if large values are only to be named.
	Bulk bool `json:",omitempty"`
	// Eras is true if the front knows eras of the store. One of an earlier version would ask the store for what
	// comes after a position of a later era, which it never has.
	Eras bool `json:",omitempty"`
}

// Relay fetches changes from other fronts.
type Relay interface {
	FetchChanges(ctx context.Context, parent Front, r ChangesRequest) (Changes, error)
}

// change is one replacement of the state. Its events have no values; those of the newest state count.
type change struct {
	number int64
	madeAt time.Time
	events []store.Event
}

// SetRelay lets the front follow others of its failure domain if there are more than
// watchersPerDomain; call it before Run. A front does not follow a view that is older than maxAge.
func (f *Follower) SetRelay(r Relay, domain string, maxAge time.Duration) {
	f.relay, f.domain, f.maxParentAge = r, domain, maxAge
}

// watchers returns the fronts of a failure domain that watch the store, sorted by name; their links are not
// slow beside those of the others. The planner, which watches the store in any case and is the busiest, is
// among them only in place of one with a slow link.
func (s *State) watchers(domain string) []Front {
	var fast []Front
	fastest, slow := 0.0, 0
	for _, front := range s.Fronts {
		if front.Domain == domain {
			fastest = max(fastest, front.LinkBytesPerSecond)
		}
	}
	var planner *Front
	for _, front := range s.Fronts {
		switch {
		case front.Domain != domain:
		case front.LinkBytesPerSecond > 0 && front.LinkBytesPerSecond*slowLinkRatio <= fastest:
			slow++
		case s.Planner != nil && s.Planner.Run == front.Run:
			planner = &front
		default:
			fast = append(fast, front)
		}
	}
	slices.SortFunc(fast, func(a, b Front) int { return cmp.Compare(a.Name, b.Name) })
	if planner != nil && slow > 0 {
		fast = append(fast[:min(watchersPerDomain, len(fast))], *planner)
	}
	return fast[:min(watchersPerDomain, len(fast))]
}

// parent returns the front to follow, and false if this front watches the store itself.
func (f *Follower) parent() (Front, bool) {
	s := f.State()
	if f.relay == nil || s.Document == nil || s.Planner != nil && s.Planner.Name == f.self || f.Unavailable(0) {
		return Front{}, false
	}
	list := s.watchers(f.domain)
	if slices.ContainsFunc(list, func(x Front) bool { return x.Name == f.self }) {
		return Front{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(list) == 0 || time.Now().Before(f.ownWatchUntil) {
		return Front{}, false
	}
	return list[(xxhash.Sum64String(f.self)+f.parentFailures)%uint64(len(list))], true
}

// isFollowed reports whether other fronts follow this one.
func (f *Follower) isFollowed() bool {
	return f.State().isFollowed(f.self, f.domain)
}

// isFollowed reports whether a front of a failure domain watches the store for another one that does not.
func (s *State) isFollowed(name, domain string) bool {
	list := s.watchers(domain)
	watches := func(name string) bool {
		return slices.ContainsFunc(list, func(x Front) bool { return x.Name == name })
	}
	if !watches(name) {
		return false
	}
	for _, front := range s.Fronts {
		if front.Domain == domain && !watches(front.Name) && (s.Planner == nil || s.Planner.Run != front.Run) {
			return true
		}
	}
	return false
}

// errFollowParent ends a watch because the front is to follow another one.
var errFollowParent = errors.New("following another front from now on")

// followParents applies the changes of parents until the front has none. After a failure it
// watches the store for a while, and then tries the next parent.
func (f *Follower) followParents(ctx context.Context) {
	var cursor Cursor
	var followed string
	for ctx.Err() == nil {
		parent, ok := f.parent()
		if !ok {
			return
		}
		if parent.Run != followed {
			if followed != "" && !sleep.For(ctx, parentSwitchDelay) {
				return
			}
			f.log.Infow("following another front", "Front", parent.Name, "Revision", f.State().Revision)
			cursor, followed = Cursor{}, parent.Run
		}
		if err := f.followOnce(ctx, parent, &cursor); err != nil && ctx.Err() == nil {
			f.log.Warnw("following another front failed; watching the store for a while", "Front", parent.Name, "Error", err.Error(), "Revision", f.State().Revision)
			f.leaveParent(err)
		}
	}
}

// leaveParent stops following for a while; the next parent is another one, unless this one was only behind.
func (f *Follower) leaveParent(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if errors.Is(err, errParentBehind) {
		f.ownWatchUntil = time.Now().Add(behindWatchTime)
		return
	}
	f.ownWatchUntil = time.Now().Add(ownWatchTime)
	f.parentFailures++
}

// errStaleParent reports a parent that does not reach the store or whose view is too old.
var errStaleParent = errors.New("the front's view of the store is out of date")

// errParentBehind reports a parent whose view is older than this front's.
var errParentBehind = errors.New("the front's view is older than this one's")

// followOnce fetches changes from a parent, applies them and advances the cursor.
func (f *Follower) followOnce(ctx context.Context, parent Front, cursor *Cursor) error {
	asked := f.proofs.SinceBoot()
	began := time.Now()
	changes, err := f.relay.FetchChanges(ctx, parent, ChangesRequest{After: *cursor, Revision: f.State().Revision, Wait: relayWindow, ProofAge: f.proofAge(asked), Bulk: f.values != nil, Eras: true})
	if err != nil {
		return err
	}
	if len(changes.Events) > 0 {
		f.recordWait(fromChanges, changes.Waited+time.Since(began)-changes.Spent)
		f.recordDocuments(fromChanges, valuesOf(changes.Events))
	}
	if !changes.Available || changes.Age > f.maxParentAge {
		return errStaleParent
	}
	if changes.Keys != nil && changes.Revision < f.State().Revision {
		return errParentBehind
	}
	if changes.Keys != nil {
		list, ok := f.mergeKeys(changes)
		if !ok {
			return errStaleParent
		}
		f.replaceKeys(View{List: list, Lacking: changes.Lacking, Bulk: changes.Bulk, From: parent.Address}, true)
	} else {
		f.applyChanges(store.Batch{Revision: changes.Revision, Events: changes.Events}, changes.Bulk, parent.Address)
	}
	f.confirmedAt.Store(time.Now().Add(-changes.Age).UnixNano())
	f.adoptFromParent(asked, changes)
	f.adoptComplete(asked, changes.CompleteAge)
	*cursor = changes.Next
	return nil
}

// mergeKeys returns the parent's view, with the values that this front has; false if a value is missing.
func (f *Follower) mergeKeys(c Changes) (store.List, bool) {
	known := f.State().Keys
	newer := map[string]store.KV{}
	for _, e := range c.Events {
		newer[e.Key] = e.KV
	}
	list := store.List{Revision: c.Revision}
	apart := map[string]bool{}
	for _, b := range c.Bulk {
		apart[b.Key] = true
	}
	for key, revision := range c.Keys {
		if apart[key] {
			continue
		}
		kv, ok := newer[key]
		if !ok {
			kv = known[key]
		}
		if kv.Revision < revision {
			return store.List{}, false
		}
		list.KVs = append(list.KVs, kv)
	}
	return list, true
}

// keepChange keeps the difference between two states for the fronts that follow this one;
// the caller holds updateMu.
func (f *Follower) keepChange(old, s *State) {
	var events []store.Event
	for key, kv := range s.Keys {
		if old.Keys[key].Revision != kv.Revision {
			events = append(events, store.Event{KV: store.KV{Key: key, Revision: kv.Revision}})
		}
	}
	for key, kv := range old.Keys {
		if _, ok := s.Keys[key]; !ok {
			events = append(events, store.Event{KV: store.KV{Key: key, Revision: max(s.Revision, kv.Revision+1)}, Deleted: true})
		}
	}
	if len(events) == 0 {
		return
	}
	f.changeNumber++
	f.changes = append(f.changes, change{f.changeNumber, time.Now(), events})
	f.changes = f.changes[max(0, len(f.changes)-maxKeptChanges):]
}

// Changes returns the changes of this front's view after a cursor, and waits for some if there are none.
func (f *Follower) Changes(ctx context.Context, r ChangesRequest) Changes {
	ctx, cancel := context.WithTimeout(ctx, min(r.Wait, relayWindow))
	defer cancel()
	received := f.proofs.SinceBoot()
	began := time.Now()
	since, renewed := f.currentProof()
	if r.ProofAge != nil {
		// The proof may have been renewed between two questions.
		since.At = min(since.At, received-*r.ProofAge)
	}
	for {
		out, next := f.changesAfter(r, received)
		out.Spent = time.Since(began)
		if out.Keys != nil || len(out.Events) > 0 || len(out.Bulk) > 0 || !out.Available || out.Proof != nil && f.pushesProof(since) {
			return out
		}
		select {
		case <-next:
		case <-renewed:
			_, renewed = f.currentProof()
		case <-ctx.Done():
			// The proof may have been renewed a moment ago.
			out, _ = f.changesAfter(r, received)
			out.Spent = time.Since(began)
			return out
		}
	}
}

// changesAfter returns the changes after a cursor, and a channel that is closed with the next change.
func (f *Follower) changesAfter(r ChangesRequest, received time.Duration) (Changes, <-chan struct{}) {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	completeAge := f.complete.before(received)
	s := f.state.Load()
	out := Changes{
		CompleteAge: completeAge,
		Next:        Cursor{Epoch: f.epoch, Number: f.changeNumber}, Revision: s.Revision,
		Age: time.Since(time.Unix(0, f.confirmedAt.Load())), Available: !f.Unavailable(0) && s.Document != nil && (r.Eras || !s.HasReturned()),
	}
	if s.usesAccounts() {
		out.AnswerAge, out.Proof = f.statements(received)
	}
	if !f.addChangesSince(&out, r.After, s) {
		f.addAll(&out, r.Revision, s)
	}
	if r.Bulk {
		out.slim()
	}
	return out, s.Next()
}

// addChangesSince adds the changes after a cursor; false if they are no longer known. The caller holds updateMu.
func (f *Follower) addChangesSince(out *Changes, after Cursor, s *State) bool {
	oldest := f.changeNumber + 1
	if len(f.changes) > 0 {
		oldest = f.changes[0].number
	}
	if after.Epoch != f.epoch || after.Number+1 < oldest {
		return false
	}
	for _, c := range f.changes {
		if c.number <= after.Number {
			continue
		}
		if out.Waited == 0 {
			out.Waited = time.Since(c.madeAt)
		}
		out.Events = append(out.Events, c.events...)
	}
	out.Events = newestEvents(out.Events, s.Keys)
	return true
}

// addAll adds the revisions of all keys, and the values newer than a revision. The caller holds updateMu.
func (f *Follower) addAll(out *Changes, after int64, s *State) {
	out.Keys, out.Lacking = make(map[string]int64, len(s.Keys)), s.lackingKeys()
	for key, kv := range s.Keys {
		if f.isMissing(key, kv.Revision) {
			continue
		}
		out.Keys[key] = kv.Revision
		if kv.Revision > after {
			out.Events = append(out.Events, store.Event{KV: kv})
		}
	}
}

// newestEvents returns the last event of each key, in the order of the keys' first ones, with the values of
// the newest state.
func newestEvents(events []store.Event, keys map[string]store.KV) []store.Event {
	var out []store.Event
	index := map[string]int{}
	for _, e := range events {
		if !e.Deleted {
			e.KV = keys[e.Key]
		}
		if i, ok := index[e.Key]; ok {
			out[i] = e
			continue
		}
		index[e.Key] = len(out)
		out = append(out, e)
	}
	return out
}

// rereadDue reports whether to read the document in a round of RunReread. A front that
// follows another does so more seldom, because the other one does it as well.
func (f *Follower) rereadDue(round int) bool {
	_, follows := f.parent()
	return !follows || round%followerRereadRatio == 0
}
