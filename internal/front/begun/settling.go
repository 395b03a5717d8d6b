package begun

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/origin"
)

// startsSettling reports whether streams of a version are told apart from those of a settled one by their records,
// as all fronts know at which version a stream begins, and write such records ahead; the caller holds the lock.
func (w *Watcher) startsSettling(s *service, v *version) bool {
	if v.hasSettled {
		return false
	}
	for _, f := range w.site.State().Fronts {
		if !f.RecordsAhead || !f.ProvesStarts {
			return false
		}
	}
	return s.hasSettled()
}

// hasSettled reports whether a version of the service has settled.
func (s *service) hasSettled() bool {
	for _, v := range s.versions {
		if v.hasSettled {
			return true
		}
	}
	return false
}

// recordsAhead reports whether streams of a version are recorded before their callers get an event, if any begin
// there. Unknown versions, which may be found while the store is away, don't wait for a marker.
func (s *service) recordsAhead(name string) bool {
	v := s.versions[name]
	switch {
	case v == nil:
		return false
	case v.markedAt == 0:
		return name != "" && !v.hasSettled && s.hasSettled()
	}
	return v.isSettling
}

// hidesUnknown reports whether a stream of an unknown version would pass for one of another version if nothing named
// it: of the settled one, or of the only one unless that is unknown as well. The latter is accepted while the store
// can't take records.
func (s *service) hidesUnknown(canRecord bool) bool {
	if s.isMixed() {
		return len(s.settling()) > 0
	}
	return canRecord && s.versions[""] == nil
}

// settling returns the versions in play all of whose streams were recorded ahead, if any have begun.
func (s *service) settling() []string {
	var out []string
	for name, v := range s.versions {
		if s.recordsAhead(name) && !v.hasSettled {
			out = append(out, name)
		}
	}
	return out
}

// hasSettling reports whether a service with streams that may be resumed has settling versions.
func (w *Watcher) hasSettling() bool {
	for name, s := range w.services {
		if s.isMixed() && w.resumable[name] && len(s.settling()) > 0 {
			return true
		}
	}
	return false
}

// maxAbsence returns the time after which callers have left a front that stands still or is lost; the caller
// holds the lock.
func (w *Watcher) maxAbsence() time.Duration {
	return w.patience + w.settleTime
}

// countFronts notes the fronts that are registered, and forgets those that were lost long ago; the caller holds
// the lock.
func (w *Watcher) countFronts(state *follow.State) {
	now := time.Now()
	for _, f := range state.Fronts {
		w.fronts[f.Run] = now
	}
	for run, seenAt := range w.fronts {
		if now.Sub(seenAt) > w.maxAbsence() {
			delete(w.fronts, run)
		}
	}
}

// acknowledged returns the markers that a front has acknowledged.
func acknowledged(state *follow.State, run string) []string {
	var a acknowledgement
	if json.Unmarshal(state.Keys[acknowledgementPrefix+run].Value, &a) != nil {
		return nil
	}
	return a.Markers
}

// dueAcknowledgement returns the markers of settling versions that this front acknowledges with its next
// records; false if it has acknowledged all. The caller holds the lock.
func (w *Watcher) dueAcknowledgement() ([]string, bool) {
	var markers []string
	for serviceName, s := range w.services {
		for name, v := range s.versions {
			if v.isSettling && v.markedAt != 0 && w.resumable[serviceName] {
				markers = append(markers, markerKey(serviceName, name))
			}
		}
	}
	slices.Sort(markers)
	known := acknowledged(w.site.State(), w.self.Run)
	isDue := slices.ContainsFunc(markers, func(m string) bool { return !slices.Contains(known, m) })
	return markers, isDue
}

// settle ends the settling of versions that all fronts have acknowledged, or that are known for so long that the
// callers of the others have left them; only the planner does.
func (w *Watcher) settle(ctx context.Context) {
	if !w.isPlanner() {
		return
	}
	t, settlements := w.dueSettlements()
	if len(t.Puts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	if err != nil || !res.Succeeded {
		w.log.Warnw("versions not settled; trying again in the next round", "Versions", len(t.Puts))
		return
	}
	w.applyWritten(t, res)
	for i, x := range settlements {
		w.log.Infow("version settled", "Key", t.Puts[i].Key, "KnownMs", x.KnownFor.Milliseconds(), "Missing", x.Missing)
	}
}

// dueSettlements returns the transaction that ends the settling of versions, and why for each of its puts.
func (w *Watcher) dueSettlements() (t store.Txn, settlements []origin.Settlement) {
	state := w.site.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countFronts(state)
	for serviceName, s := range w.services {
		for name, v := range s.versions {
			if !v.isSettling || v.markedAt == 0 || len(t.Puts) == maxMarkers {
				continue
			}
			key := markerKey(serviceName, name)
			x := origin.Settlement{
				KnownFor: time.Since(v.knownAt), WatchedFor: time.Since(w.startedAt), Missing: w.missing(state, key), MinKnown: w.settleTime, MaxAbsence: w.maxAbsence(),
			}
			if value, err := json.Marshal(marker{Service: serviceName, Version: name}); err == nil && x.IsSettled() {
				t.If = append(t.If, store.Compare{Key: key, Revision: v.markedAt})
				t.Puts = append(t.Puts, store.Put{Key: key, Value: value})
				settlements = append(settlements, x)
			}
		}
	}
	return t, settlements
}

// missing returns the number of fronts that have not acknowledged a marker; the caller holds the lock.
func (w *Watcher) missing(state *follow.State, key string) int {
	n := 0
	for run := range w.fronts {
		if !slices.Contains(acknowledged(state, run), key) {
			n++
		}
	}
	return n
}
