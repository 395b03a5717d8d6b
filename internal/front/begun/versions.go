package begun

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
)

const (
	// markDelay and maxMarkJitter delay the markers of fronts without the planner's role, which are
	// only needed if the planner's fails.
	markDelay     = time.Second
	maxMarkJitter = 2 * time.Second
	// maxMarkers bounds the markers that one call writes or removes.
	maxMarkers = 16
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
)

// version is a version of a service's instances that may have begun streams.
type version struct {
	// isAnnounced is true while an instance of the version is announced, and announcedAt is when one last was.
	isAnnounced bool
	announcedAt time.Time
	// markedAt is the revision of its marker, 0 if it has none, and knownAt is when this front first saw one.
	markedAt int64
	knownAt  time.Time
	// isSettling is true while the marker says so, and hasSettled once one has said otherwise.
	isSettling, hasSettled bool
	// openAt is when streams may begin at the version, zero before it has a marker.
	openAt time.Time
	// markDue is when this front writes the marker.
	markDue time.Time
}

// sync brings the versions in play and the learned streams up to date; the caller holds the lock.
func (w *Watcher) sync() {
	state := w.site.State()
	if state == w.synced {
		return
	}
	isFirst := w.synced == nil || w.synced.Document == nil
	w.synced = state
	w.countFronts(state)
	w.syncDocument(state.Document)
	for _, s := range w.services {
		for _, v := range s.versions {
			v.isAnnounced, v.markedAt = false, 0
		}
	}
	for _, in := range state.Instances {
		v := w.version(in.Service, in.Version)
		v.isAnnounced, v.announcedAt = true, time.Now()
	}
	for key, kv := range state.Keys {
		switch {
		case strings.HasPrefix(key, markerPrefix):
			w.syncMarker(kv, isFirst)
		case strings.HasPrefix(key, recordPrefix):
			w.learn(kv)
		}
	}
	for key, revision := range w.read {
		if _, ok := state.Keys[key]; !ok && revision <= state.Revision {
			delete(w.read, key)
		}
	}
	for _, s := range w.services {
		s.closeUnmarked()
	}
	w.dropVersions()
}

// closeUnmarked closes the versions that haven't settled and whose markers are lost, as fronts that start don't
// know them; unknown versions may have been found while the store is away.
func (s *service) closeUnmarked() {
	for name, v := range s.versions {
		if v.markedAt == 0 && !v.hasSettled && name != "" {
			v.knownAt, v.openAt = time.Time{}, time.Time{}
		}
	}
}

// syncDocument derives what depends on the document; the caller holds the lock.
func (w *Watcher) syncDocument(doc *site.Document) {
	if doc == nil || doc == w.document {
		return
	}
	w.document = doc
	clear(w.resumable)
	for _, r := range doc.Routes {
		if r.Kind != site.Streaming || !r.Resumable {
			continue
		}
		// Streams that began under an earlier document may last longer than this one allows.
		w.window = min(maxWindow, max(w.window, r.Timeout))
		w.patience = max(w.patience, r.Patience())
		for _, s := range r.Split {
			w.resumable[s.Service] = true
		}
	}
}

// syncMarker applies a marker of the newest state, which is the first one known if isFirst is set; the caller
// holds the lock.
func (w *Watcher) syncMarker(kv store.KV, isFirst bool) {
	var m marker
	if json.Unmarshal(kv.Value, &m) != nil || kv.Key != markerKey(m.Service, m.Version) {
		return
	}
	v := w.version(m.Service, m.Version)
	now := time.Now()
	v.markedAt, v.isSettling = kv.Revision, m.Settling
	v.hasSettled = v.hasSettled || !m.Settling
	if v.knownAt.IsZero() {
		v.knownAt = now
	}
	if v.openAt.IsZero() {
		v.openAt = now
		if m.Settling || !isFirst {
			v.openAt = now.Add(w.settleTime)
		}
	}
}

// version returns a version that is in play from now on; the caller holds the lock.
func (w *Watcher) version(serviceName, name string) *version {
	s := w.service(serviceName)
	v := s.versions[name]
	if v == nil {
		now := time.Now()
		v = &version{announcedAt: now, markDue: now.Add(markDelay + rand.N(maxMarkJitter))}
		if w.isPlanner() {
			v.markDue = now
		}
		if name == "" {
			// While the store is away, instances of unknown versions are learned of without it.
			v.openAt = now.Add(w.settleTime)
		}
		s.versions[name] = v
		if s.isMixed() {
			w.log.Infow("several versions in play", "Service", serviceName, "Versions", len(s.versions), "Added", name)
		}
		if len(s.versions) == 2 {
			// Streams that began before weren't recorded.
			s.segment = segment{}
		}
	}
	return v
}

// dropVersions drops versions whose streams can't be taken up any more; the caller holds the lock.
func (w *Watcher) dropVersions() {
	for serviceName, s := range w.services {
		for name, v := range s.versions {
			if !v.isAnnounced && v.markedAt == 0 && time.Since(v.announcedAt) > 2*w.window {
				delete(s.versions, name)
				w.log.Infow("version no longer in play", "Service", serviceName, "Version", name)
			}
		}
	}
}

// Closed returns the versions in play of a service at which no streams may begin for now, since other fronts may
// not know them or since the streams can't be recorded; nil if there are none.
func (w *Watcher) Closed(serviceName string) []string {
	canRecord := !w.site.Unavailable(0) && w.aheadInterval() <= maxAheadInterval
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sync()
	s := w.services[serviceName]
	if s == nil || !s.isMixed() {
		return nil
	}
	var out []string
	for name, v := range s.versions {
		if v.openAt.IsZero() || time.Now().Before(v.openAt) || v.isSettling && !canRecord {
			out = append(out, name)
		}
	}
	return out
}

// isPlanner reports whether this front has the planner's role.
func (w *Watcher) isPlanner() bool {
	planner := w.site.State().Planner
	return planner != nil && planner.Run == w.self.Run
}

// writeMarkers writes the markers that versions in play lack.
func (w *Watcher) writeMarkers(ctx context.Context) {
	var t store.Txn
	w.mu.Lock()
	for serviceName, s := range w.services {
		for name, v := range s.versions {
			recent := v.isAnnounced || time.Since(v.announcedAt) < w.window
			due := w.isPlanner() || !time.Now().Before(v.markDue)
			if v.markedAt != 0 || !recent || !due || !w.resumable[serviceName] || len(t.Puts) == maxMarkers {
				continue
			}
			key := markerKey(serviceName, name)
			if value, err := json.Marshal(marker{Service: serviceName, Version: name, Settling: w.startsSettling(s, v)}); err == nil {
				t.If = append(t.If, store.Compare{Key: key})
				t.Puts = append(t.Puts, store.Put{Key: key, Value: value})
			}
		}
	}
	w.mu.Unlock()
	if len(t.Puts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	if err != nil || !res.Succeeded {
		w.log.Warnw("versions not marked; marking them in the next round", "Versions", len(t.Puts))
		return
	}
	w.applyWritten(t, res)
}

// applyWritten applies what a transaction has written.
func (w *Watcher) applyWritten(t store.Txn, res store.Result) {
	for _, p := range t.Puts {
		w.site.ApplyWritten(store.KV{Key: p.Key, Value: p.Value, Revision: res.Revision, Lease: p.Lease})
	}
}

// removeMarkers removes the markers of versions that this front has not seen announced for so long that
// none of their streams can be taken up any more; only the planner does.
func (w *Watcher) removeMarkers(ctx context.Context) {
	if !w.isPlanner() {
		return
	}
	var t store.Txn
	w.mu.Lock()
	for serviceName, s := range w.services {
		for name, v := range s.versions {
			if !v.isAnnounced && v.markedAt != 0 && time.Since(v.announcedAt) > 2*w.window && len(t.Deletes) < maxMarkers {
				key := markerKey(serviceName, name)
				t.If = append(t.If, store.Compare{Key: key, Revision: v.markedAt})
				t.Deletes = append(t.Deletes, key)
			}
		}
	}
	w.mu.Unlock()
	if len(t.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	slices.Sort(t.Deletes)
	w.log.Infow("markers of versions removed", "Keys", t.Deletes, "Succeeded", err == nil && res.Succeeded)
}
