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

// shareHarmless tells the other fronts that a prompt part is harmless, and again if answers prove
// meanwhile that it refutes more records.
func (w *Watcher) shareHarmless(ctx context.Context, p blame.Part) {
	sleep.For(ctx, rand.N(maxShareDelay))
	shared := int64(0)
	for tries := 1; ; tries++ {
		w.mu.Lock()
		upTo := w.ownHarmless[p]
		if upTo <= shared || tries > maxShareTries {
			delete(w.sharing, p)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if w.tellHarmless(ctx, p, upTo) {
			shared = upTo
			continue
		}
		if !sleep.For(ctx, min(time.Duration(tries)*commitRetryDelay, maxCommitRetryDelay)) {
			return
		}
	}
}

// maxShareTries bounds the tries to share one harmless part; the last ones are maxCommitRetryDelay apart.
const maxShareTries = 300

// tellHarmless tells up to which revision a prompt part is harmless, unless the others know; false
// if only the planner can be told, as the store is away.
func (w *Watcher) tellHarmless(ctx context.Context, p blame.Part, upTo int64) bool {
	key := harmlessKey(p)
	known := w.site.State().Keys[key]
	var shared harmlessPart
	if json.Unmarshal(known.Value, &shared) == nil && shared.UpTo >= upTo {
		return true
	}
	value, err := json.Marshal(harmlessPart{Service: p.Service, Part: p.ID, UpTo: upTo})
	if err != nil {
		return true
	}
	if upTo > collectedRevisions {
		w.setUnwritten(key, value)
		return true
	}
	written := w.put(ctx, store.Txn{If: []store.Compare{{Key: key, Revision: known.Revision}}, Puts: []store.Put{{Key: key, Value: value}}})
	w.log.Infow("prompt part harmless", "Service", p.Service, "PromptPart", p.ID, "UpTo", upTo, "Written", written)
	if !written && w.site.Unavailable(0) {
		w.setUnwritten(key, value)
		return false
	}
	w.setUnwritten(key, nil)
	return true
}
