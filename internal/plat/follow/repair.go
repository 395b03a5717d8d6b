package follow

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/plat/store"
)

const (
	// repairCheckInterval is the pause between checks whether a rejected value is to be fetched again.
	repairCheckInterval = 100 * time.Millisecond
	// minRepairInterval is the least time between two fetches of a rejected value; it doubles up to
	// maxRepairInterval, as a value that the store itself holds like this may change often.
	minRepairInterval = 250 * time.Millisecond
	maxRepairInterval = 30 * time.Second
	// maxRepairDelay bounds the random delay of the first fetch, so that the fronts of a site don't
	// read a key all at once.
	maxRepairDelay = 250 * time.Millisecond
	// maxLoggedError bounds the bytes of an error in the log.
	maxLoggedError = 200
)

// rejected is the newest value of a key if it could not be decoded. The key keeps its last value that
// could be, so that the same revision is accepted from elsewhere.
type rejected struct {
	revision int64
	// digest is the hash of the value, 0 if another front lacked it as well.
	digest uint64
	// bulk is set if the value is only on its way, apart from the changes.
	bulk *bulkSource
	// confirmed is set once a read from the store has returned the value that was rejected before.
	confirmed bool
}

// matches reports whether a value is the one that was rejected.
func (r rejected) matches(kv store.KV) bool {
	return r.revision == kv.Revision && r.digest == xxhash.Sum64(kv.Value)
}

// rejectValue records a value that can't be decoded in s, and keeps the one of old in its place.
func (f *Follower) rejectValue(old, s *State, kv store.KV, reason error) {
	if have, ok := old.Keys[kv.Key]; ok {
		s.Keys[kv.Key] = have
	} else {
		delete(s.Keys, kv.Key)
	}
	if r, ok := old.rejected[kv.Key]; ok && r.matches(kv) {
		s.rejected[kv.Key] = r
		return
	}
	s.rejected[kv.Key] = rejected{revision: kv.Revision, digest: xxhash.Sum64(kv.Value)}
	f.rejections.Add(1)
	text := reason.Error()
	f.log.Errorw(f.rejectionMessage(kv.Key), "Key", kv.Key, "Revision", kv.Revision, "Kept", s.Keys[kv.Key].Revision, "Bytes", len(kv.Value), "Error", text[:min(len(text), maxLoggedError)])
}

// rejectionMessage returns the log message for a key whose value can't be decoded.
func (f *Follower) rejectionMessage(key string) string {
	switch f.kindOf(key) {
	case documentKey:
		return "document rejected"
	case instanceKey:
		return "announcement rejected"
	}
	return "registration rejected"
}

// keepRejected carries over the rejected values of old that nothing newer has replaced.
func keepRejected(old, s *State) {
	for key, r := range old.rejected {
		if s.Keys[key].Revision < r.revision && s.rejected[key].revision < r.revision {
			s.rejected[key] = r
		}
	}
}

// lackingKeys returns the revisions of the values that the state lacks, by key.
func (s *State) lackingKeys() map[string]int64 {
	if len(s.rejected) == 0 {
		return nil
	}
	out := make(map[string]int64, len(s.rejected))
	for key, r := range s.rejected {
		out[key] = r.revision
	}
	return out
}

// addLacking records the values that another front lacked in the view that s was made from, unless s has them.
func (s *State) addLacking(lacking map[string]int64) {
	for key, revision := range lacking {
		if s.Keys[key].Revision < revision && s.rejected[key].revision < revision {
			s.rejected[key] = rejected{revision: revision}
		}
	}
	s.dropUnknownPlanner()
}

// dropUnknownPlanner removes the planner if the newest value of its key is lacking: another front may hold
// the role.
func (s *State) dropUnknownPlanner() {
	if _, ok := s.rejected[PlannerKey]; ok {
		s.Planner = nil
	}
}

// dropRejected removes the rejected values of keys that have been deleted since.
func (s *State) dropRejected(isDeleted func(key string, r rejected) bool) {
	maps.DeleteFunc(s.rejected, isDeleted)
}

// RejectedValues returns the number of values that could not be decoded since the start.
func (f *Follower) RejectedValues() uint64 {
	return f.rejections.Load()
}

// UnrepairedValues returns the number of keys whose newest value this front lacks and the store is not
// known to hold like this.
func (f *Follower) UnrepairedValues() int {
	n := 0
	for _, r := range f.State().rejected {
		if !r.confirmed {
			n++
		}
	}
	return n
}

// applyRead applies the value of a linearizable read of its key, and reports whether this front did not have
// it. A value that can't be decoded is confirmed if it had been rejected before.
func (f *Follower) applyRead(kv store.KV) (applied bool) {
	f.update(func(old *State) *State {
		current, before, have := old, old.rejected[kv.Key], old.Keys[kv.Key]
		if kv.Revision < have.Revision || before.confirmed && before.matches(kv) {
			return old
		}
		if kv.Revision == have.Revision {
			if bytes.Equal(kv.Value, have.Value) {
				return old
			}
			f.rejections.Add(1)
			f.log.Errorw("value differs from the one in the store", "Key", kv.Key, "Revision", kv.Revision, "Bytes", len(have.Value), "StoreBytes", len(kv.Value))
			old = old.without(kv.Key, f.kindOf(kv.Key))
		}
		s := f.deriveState(old, applyEvents(old.Keys, []store.Event{{KV: kv}}), old.Revision)
		r, isRejected := s.rejected[kv.Key]
		if isRejected && kv.Revision == have.Revision {
			return current
		}
		applied = !isRejected
		if isRejected && before.matches(kv) {
			r.confirmed = true
			s.rejected[kv.Key] = r
			f.log.Warnw("rejected value confirmed by the store", "Key", kv.Key, "Revision", kv.Revision)
		}
		return s
	})
	return applied
}

// without returns a copy of the state without the value of a key and what was decoded from it.
func (s *State) without(key string, kind keyKind) *State {
	out := *s
	out.Keys = maps.Clone(s.Keys)
	delete(out.Keys, key)
	if kind == documentKey {
		out.Document = nil
	}
	return &out
}

// repair tells when a rejected value is fetched again.
type repair struct {
	tries int
	next  time.Time
}

// RunRepair fetches rejected values again: from the store, or from other fronts while it is unavailable. Large
// values that are on their way are fetched from the front that has them first.
func (f *Follower) RunRepair(ctx context.Context) {
	repairs := map[string]repair{}
	for f.awaitRejected(ctx) {
		s := f.State()
		maps.DeleteFunc(repairs, func(key string, _ repair) bool { return s.rejected[key].revision == 0 })
		asked := false
		for key, r := range s.rejected {
			x, ok := repairs[key]
			if !ok {
				x.next = f.firstRepair(r)
				repairs[key] = x
			}
			if r.confirmed || time.Now().Before(x.next) {
				continue
			}
			x.next = time.Now().Add(min(maxRepairInterval, minRepairInterval<<min(x.tries, maxRepairDoublings)))
			x.tries++
			repairs[key] = x
			switch {
			case r.bulk != nil && f.fetchBulk(ctx, r.bulk, x.tries):
				// A newer value may be lacking by now.
				delete(repairs, key)
			case !f.Unavailable(0):
				f.refetch(ctx, key, r)
			case !asked:
				asked = true
				f.askForRejected(ctx)
			}
		}
	}
}

// firstRepair returns when a rejected value is first fetched again.
func (f *Follower) firstRepair(r rejected) time.Time {
	if r.bulk != nil {
		return time.Now()
	}
	return time.Now().Add(time.Duration(f.random() * float64(maxRepairDelay)))
}

// awaitRejected waits for repairCheckInterval, and then until a value is rejected unless one is; false if the
// context ends.
func (f *Follower) awaitRejected(ctx context.Context) bool {
	if !sleep.For(ctx, repairCheckInterval) {
		return false
	}
	for f.UnrepairedValues() == 0 {
		select {
		case <-f.rejectedValue:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// maxRepairDoublings is the number of fetches after which the pause grows no more.
const maxRepairDoublings = 7

// refetch reads the key of a rejected value from the store.
func (f *Follower) refetch(ctx context.Context, key string, r rejected) {
	kv, ok, err := f.store.Get(ctx, key)
	switch {
	case err != nil:
		f.log.Debugw("fetching a rejected value again failed", "Key", key, "Error", err.Error())
	case ok && f.applyRead(kv):
		f.log.Infow("rejected value replaced", "Key", key, "Rejected", r.revision, "Revision", kv.Revision, "From", "store")
	case !ok:
		f.update(func(old *State) *State {
			if old.rejected[key] != r {
				return old
			}
			s := f.deriveState(old, old.Keys, old.Revision)
			delete(s.rejected, key)
			return s
		})
	}
}

// askForRejected fetches a view of this front's revision or a newer one from other fronts.
func (f *Follower) askForRejected(ctx context.Context) {
	if f.peers == nil {
		return
	}
	before := f.State().rejected
	view, ok := f.peers.FetchNewer(ctx, f.State().Revision-1)
	if !ok {
		return
	}
	f.applyView(view)
	s := f.State()
	for key, r := range before {
		if _, still := s.rejected[key]; !still {
			f.log.Infow("rejected value replaced", "Key", key, "Rejected", r.revision, "Revision", s.Keys[key].Revision, "From", "another front")
		}
	}
}
