package crash

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

// maxShareDelay bounds the random delay before a harmless part is told, as all fronts may
// find it at the same time.
const maxShareDelay = 300 * time.Millisecond

// RecordAnswer records that the answer to a request is under way or complete, which proves
// all of the request's prompt parts harmless.
func (w *Watcher) RecordAnswer(service string, prompt []site.PromptPart) {
	v := w.verdict.Load()
	if len(v.Watched) == 0 {
		return
	}
	var parts []blame.Part
	watched := false
	for _, id := range sharedParts(prompt) {
		p := blame.Part{Service: service, ID: id}
		parts = append(parts, p)
		watched = watched || v.Watched[p]
	}
	if !watched {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, p := range parts {
		if w.ownHarmless[p] >= v.newest[p] {
			continue
		}
		w.ownHarmless[p], changed = v.newest[p], true
		if !w.sharing[p] {
			w.sharing[p] = true
			w.group.Go(func() { w.shareHarmless(w.ctx, p) })
		}
	}
	if changed {
		w.judge()
	}
}

// shareHarmless tells the other fronts that a prompt part is harmless, unless they know.
func (w *Watcher) shareHarmless(ctx context.Context, p blame.Part) {
	sleep.For(ctx, rand.N(maxShareDelay))
	w.mu.Lock()
	delete(w.sharing, p)
	upTo := w.ownHarmless[p]
	w.mu.Unlock()
	known := w.site.State().Keys[harmlessKey(p)]
	var shared harmlessPart
	if upTo == 0 || json.Unmarshal(known.Value, &shared) == nil && shared.UpTo >= upTo {
		return
	}
	value, err := json.Marshal(harmlessPart{Service: p.Service, Part: p.ID, UpTo: upTo})
	if err != nil {
		return
	}
	if upTo > collectedRevisions {
		w.setUnwritten(harmlessKey(p), value)
		return
	}
	written := w.writeHarmless(ctx, p, value)
	w.log.Infow("prompt part harmless", "Service", p.Service, "PromptPart", p.ID, "UpTo", upTo, "Written", written)
}

// writeHarmless writes a harmless part; false if the store holds another one. While the store is
// away the planner gets it instead.
func (w *Watcher) writeHarmless(ctx context.Context, p blame.Part, value []byte) bool {
	key := harmlessKey(p)
	defer w.setUnwritten(key, nil)
	for tries := 1; ; tries++ {
		known := w.site.State().Keys[key].Revision
		if w.put(ctx, store.Txn{If: []store.Compare{{Key: key, Revision: known}}, Puts: []store.Put{{Key: key, Value: value}}}) {
			return true
		}
		if !w.site.Unavailable(0) || tries > maxHarmlessTries {
			return false
		}
		w.setUnwritten(key, value)
		if !sleep.For(ctx, min(time.Duration(tries)*commitRetryDelay, maxCommitRetryDelay)) {
			return false
		}
	}
}

// maxHarmlessTries bounds the writes of one harmless part; the last ones are maxCommitRetryDelay apart.
const maxHarmlessTries = 300
