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
	written := w.put(ctx, store.Txn{If: []store.Compare{{Key: harmlessKey(p), Revision: known.Revision}}, Puts: []store.Put{{Key: harmlessKey(p), Value: value}}})
	w.log.Infow("prompt part harmless", "Service", p.Service, "PromptPart", p.ID, "UpTo", upTo, "Written", written)
}
