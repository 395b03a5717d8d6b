package follow

import "foxtailcroft/internal/core/site"

// MarkDraining marks an instance of the view as draining because it has said so in an answer,
// which may come before its announcement, or without one.
func (f *Follower) MarkDraining(k site.InstanceKey) {
	if in, ok := f.State().Instances[k.ID]; !ok || in.InstanceKey != k || in.Draining {
		return
	}
	f.update(func(old *State) *State {
		if in, ok := old.Instances[k.ID]; !ok || in.InstanceKey != k || in.Draining {
			return old
		}
		f.leaving[k] = true
		f.log.Infow("instance says that it leaves", "Instance", k.ID, "Born", k.Born)
		return f.deriveState(old, old.Keys, old.Revision)
	})
}

// MarkedDraining returns the instances of the view that were marked as draining.
func (f *Follower) MarkedDraining() []site.InstanceKey {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	var out []site.InstanceKey
	for k := range f.leaving {
		if f.State().Instances[k.ID].InstanceKey == k {
			out = append(out, k)
			continue
		}
		delete(f.leaving, k)
	}
	return out
}
