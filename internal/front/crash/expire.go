package crash

import (
	"context"
	"strings"
	"time"

	"foxtailcroft/internal/plat/store"
)

const (
	// cleanupInterval is the pause between two searches for expired keys.
	cleanupInterval = 5 * time.Second
	// maxDeletes bounds the keys removed by one write.
	maxDeletes = 16
)

// removeExpired removes expired keys; only the planner does.
func (w *Watcher) removeExpired(ctx context.Context) {
	planner := w.site.State().Planner
	if planner == nil || planner.Run != w.self.Run {
		return
	}
	var t store.Txn
	w.mu.Lock()
	for key, seen := range w.firstSeen {
		limit := retention
		if !strings.HasPrefix(key, recordPrefix) {
			// Refutations and trials must outlive the records that they are about.
			limit = 2 * retention
		}
		if time.Since(seen) > limit && len(t.Deletes) < maxDeletes && w.keys[key].Revision < collectedRevisions {
			t.If = append(t.If, store.Compare{Key: key, Revision: w.keys[key].Revision})
			t.Deletes = append(t.Deletes, key)
		}
	}
	w.mu.Unlock()
	if len(t.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	w.log.Infow("expired crash records removed", "Keys", len(t.Deletes), "Succeeded", err == nil && res.Succeeded)
}
