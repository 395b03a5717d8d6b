package follow

import (
	"maps"
	"slices"

	"foxtailcroft/internal/core/site"
)

// Successor is an incarnation that was found at the address of an instance, while the store could
// not announce it.
type Successor struct {
	Old site.InstanceKey
	New site.InstanceKey
}

// AddSuccessor replaces an instance of the view by its successor, which holds no models, until the
// store has been back for Delays.ReturnGrace; it does nothing while the store answers.
func (f *Follower) AddSuccessor(x Successor) {
	if !f.mayReplace(x) {
		return
	}
	f.update(func(old *State) *State {
		if !f.mayReplace(x) {
			return old
		}
		in := old.Instances[x.Old.ID]
		if !isSuccessor(in) {
			f.superseded[in.ID] = in.Revision
		}
		f.successors = append(f.successors, x)
		f.recordLeft(x.Old)
		s := *old
		s.Instances, s.replaced = maps.Clone(old.Instances), make(chan struct{})
		delete(s.Instances, x.Old.ID)
		if _, announced := s.Instances[x.New.ID]; !announced {
			in.InstanceKey, in.Models, in.Version, in.Revision = x.New, nil, "", 0
			in.Draining = f.leaving[x.New]
			s.Instances[x.New.ID] = in
		}
		f.log.Infow("instance replaced while the store is away", "Instance", x.Old.ID, "Born", x.Old.Born, "By", x.New.ID, "ByBorn", x.New.Born)
		return &s
	})
}

// mayReplace reports whether a successor replaces an instance of the view.
func (f *Follower) mayReplace(x Successor) bool {
	in, ok := f.State().Instances[x.Old.ID]
	return ok && in.InstanceKey == x.Old && x.New != x.Old && !in.Draining && f.Unavailable(f.delays.ReturnGrace)
}

// SuccessorsAfter returns the successors that this front has learned of after a cursor, and the next cursor.
func (f *Follower) SuccessorsAfter(c Cursor) ([]Successor, Cursor) {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	next := Cursor{Epoch: f.epoch, Number: f.forgottenSuccessors + int64(len(f.successors))}
	first := int64(0)
	if c.Epoch == f.epoch {
		first = min(max(0, c.Number-f.forgottenSuccessors), int64(len(f.successors)))
	}
	return slices.Clone(f.successors[first:]), next
}

// keepSuccessors adds the successors of the old state that have no announcement to a new one.
func (f *Follower) keepSuccessors(old, s *State) {
	if len(f.successors) == 0 {
		return
	}
	for id, in := range old.Instances {
		if _, announced := s.Instances[id]; !announced && isSuccessor(in) {
			in.Draining = in.Draining || f.leaving[in.InstanceKey]
			s.Instances[id] = in
		}
	}
}

// isSuperseded reports whether an announcement is that of an instance with a successor.
func (f *Follower) isSuperseded(id string, revision int64) bool {
	known, ok := f.superseded[id]
	return ok && known == revision
}

// isSuccessor reports whether an instance of the view has no announcement and is there as a successor.
func isSuccessor(in site.Instance) bool {
	return in.Revision == 0
}

// forgetSuccessors forgets all successors; the caller holds updateMu. Those that the store has not
// announced meanwhile are gone.
func (f *Follower) forgetSuccessors() {
	f.forgottenSuccessors += int64(len(f.successors))
	f.successors = nil
	clear(f.superseded)
}
