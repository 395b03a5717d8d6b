package follow

import (
	"maps"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
)

const (
	// leftMemory is how long an instance that is gone is remembered; the copies that the store comes back
	// from are younger. maxLeft bounds the instances.
	leftMemory = time.Minute
	maxLeft    = 4096
	// outdatedTime is how long the announcement of an instance that is gone is ignored if the store lists it
	// again after it came back from a copy. Without the instance it expires within this time.
	outdatedTime = 10 * time.Second
)

// outdated is the announcement, at a revision, of an instance that had left, or restarted under its ID, before
// the store came back from a copy that lists it.
type outdated struct {
	revision int64
	until    time.Time
}

// eraMemory is what a follower keeps for the time when the store comes back from a copy; Follower.updateMu
// guards it.
type eraMemory struct {
	// left tells when instances were last seen to leave the view.
	left map[site.InstanceKey]time.Time
	// outdated are announcements by the instances' IDs.
	outdated map[string]outdated
}

func newEraMemory() eraMemory {
	return eraMemory{left: map[site.InstanceKey]time.Time{}, outdated: map[string]outdated{}}
}

// beginsEraAfter reports whether the store came back from a copy between two states.
func (s *State) beginsEraAfter(old *State) bool {
	return store.EraOf(s.Revision) > store.EraOf(old.Revision)
}

// HasReturned reports whether the store has come back from a copy.
func (s *State) HasReturned() bool {
	return store.EraOf(s.Revision) > 1
}

// beginEra prepares a state that is the first one of an era. What instances had said before still holds
// there, though the copy may be older.
func (f *Follower) beginEra(old, s *State) {
	if !s.beginsEraAfter(old) {
		return
	}
	s.EraBeganAt = time.Now()
	if old.Revision == 0 {
		return
	}
	f.log.Warnw("the store came back from a copy", "Era", store.EraOf(s.Revision), "Revision", store.RevisionOf(s.Revision),
		"EraBefore", store.EraOf(old.Revision), "RevisionBefore", store.RevisionOf(old.Revision))
	for _, in := range old.Instances {
		if in.Draining {
			f.leaving[in.InstanceKey] = true
		}
	}
}

// keepFronts keeps the fronts of the old state that have not registered in the current era, as long as they may.
func (f *Follower) keepFronts(old, s *State) {
	if !f.mayReturn(s) {
		return
	}
	for name, front := range old.Fronts {
		now, known := s.Fronts[name]
		kv := old.Keys[FrontPrefix+name]
		registered := store.EraOf(kv.Revision) == store.EraOf(s.Revision) && !front.isOfCopy(kv.Revision)
		if known && now.isOfCopy(s.Keys[FrontPrefix+name].Revision) || !known && !registered {
			s.Fronts[name] = front
		}
	}
}

// hasUnregisteredFronts reports whether the state has fronts that have not registered in the current era.
func (s *State) hasUnregisteredFronts() bool {
	for name, front := range s.Fronts {
		kv, ok := s.Keys[FrontPrefix+name]
		if !ok && !s.EraBeganAt.IsZero() || front.isOfCopy(kv.Revision) {
			return true
		}
	}
	return false
}

// mayReturn reports whether instances that are missing in the store may still announce themselves: it is
// unavailable, or has returned less than Delays.ReturnGrace ago.
func (f *Follower) mayReturn(s *State) bool {
	return f.Unavailable(f.delays.ReturnGrace) || time.Since(s.EraBeganAt) < f.delays.ReturnGrace
}

// recordLeft records that an instance is gone; the caller holds updateMu.
func (f *Follower) recordLeft(k site.InstanceKey) {
	now := time.Now()
	if len(f.eras.left) >= maxLeft {
		maps.DeleteFunc(f.eras.left, func(_ site.InstanceKey, at time.Time) bool { return now.Sub(at) > leftMemory })
	}
	if len(f.eras.left) < maxLeft {
		f.eras.left[k] = now
	}
}

// hasLeft reports whether an instance has left lately; the caller holds updateMu.
func (f *Follower) hasLeft(k site.InstanceKey) bool {
	at, ok := f.eras.left[k]
	return ok && time.Since(at) <= leftMemory
}

// hideOutdated ignores an announcement for outdatedTime; the caller holds updateMu.
func (f *Follower) hideOutdated(id string, revision int64) {
	f.eras.outdated[id] = outdated{revision, time.Now().Add(outdatedTime)}
	f.log.Infow("announcement of an instance that had left or restarted ignored", "Instance", id, "Revision", revision)
}

// isOutdated reports whether an announcement is ignored; the caller holds updateMu.
func (f *Follower) isOutdated(id string, revision int64) bool {
	o, ok := f.eras.outdated[id]
	return ok && o.revision == revision
}

// keepReplacement keeps the instance that has replaced the one whose announcement is ignored, as long as it may
// announce itself again; the caller holds updateMu.
func (f *Follower) keepReplacement(old, s *State, id string) {
	if in, ok := old.Instances[id]; ok && !in.Draining && f.mayReturn(s) {
		in.Draining = f.leaving[in.InstanceKey]
		s.Instances[id] = in
	}
}

// keepsReplacements reports whether the state has instances by keepReplacement; the caller holds updateMu.
func (f *Follower) keepsReplacements(s *State) bool {
	for id, o := range f.eras.outdated {
		if in, ok := s.Instances[id]; ok && in.Revision < o.revision {
			return true
		}
	}
	return false
}

// forgetOutdated forgets the announcements that have been ignored for long enough, and reports whether there
// were any. Those that are still listed are renewed by their instances.
func (f *Follower) forgetOutdated() bool {
	before, now := len(f.eras.outdated), time.Now()
	maps.DeleteFunc(f.eras.outdated, func(_ string, o outdated) bool { return now.After(o.until) })
	return len(f.eras.outdated) < before
}
