package crash

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

const (
	// gatherTime is how long attempts that end with the same instance are gathered for one record.
	gatherTime = 50 * time.Millisecond
	// probeTimeout bounds the connection that tells a crash from a broken connection.
	probeTimeout = 500 * time.Millisecond
	// commitTimeout bounds one write, commitRetryDelay is the pause after a failed one, and
	// maxCommitTries their number.
	commitTimeout    = time.Second
	commitRetryDelay = 200 * time.Millisecond
	maxCommitTries   = 25
	// pendingLifetime is how long further attempts are added to a record.
	pendingLifetime = 30 * time.Second
	// maxShareDelay bounds the random delay before a harmless part is told, as all fronts
	// may find it at the same time.
	maxShareDelay = 300 * time.Millisecond
	// cleanupInterval is the pause between two searches for expired keys.
	cleanupInterval = 5 * time.Second
	// maxDeletes bounds the keys removed by one write.
	maxDeletes = 16
)

// pendingRecord is a record that is being gathered or has been written.
type pendingRecord struct {
	instance site.Instance
	began    time.Time
	record   record
	// writing is true while a task gathers or writes the record.
	writing bool
	crashed bool
}

// RecordBroken records that an attempt at an instance broke off before its answer was under way;
// started is true if the head of the answer had arrived.
func (w *Watcher) RecordBroken(in site.Instance, prompt []site.PromptPart, started bool) {
	suspect := blame.Suspect{Parts: sharedParts(prompt), Started: started}
	if len(suspect.Parts) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, p := range w.pending {
		if time.Since(p.began) > pendingLifetime {
			delete(w.pending, k)
		}
	}
	p := w.pending[in.InstanceKey]
	if p == nil {
		p = &pendingRecord{instance: in, began: time.Now(), record: record{Service: in.Service}}
		w.pending[in.InstanceKey] = p
	}
	if len(p.record.Suspects) >= maxSuspects {
		return
	}
	p.record.Suspects = append(p.record.Suspects, suspect)
	if !p.writing {
		p.writing = true
		w.group.Go(func() { w.writeRecord(w.ctx, p) })
	}
}

// sharedParts returns the IDs of the parts of a prompt that other requests may share.
func sharedParts(prompt []site.PromptPart) []string {
	var out []string
	for _, p := range prompt[:max(0, len(prompt)-1)] {
		if p.ID != "" && len(p.ID) <= maxPartBytes && len(out) < maxParts {
			out = append(out, p.ID)
		}
	}
	return out
}

// writeRecord writes a record once the instance has proved to have crashed.
func (w *Watcher) writeRecord(ctx context.Context, p *pendingRecord) {
	crashed := p.crashed || w.hasCrashed(ctx, p.instance)
	sleep.For(ctx, gatherTime)
	w.mu.Lock()
	p.writing, p.crashed = false, crashed
	value, err := json.Marshal(p.record)
	suspects := slices.Clone(p.record.Suspects)
	if !crashed {
		delete(w.pending, p.instance.InstanceKey)
	}
	w.mu.Unlock()
	if !crashed || err != nil {
		return
	}
	w.crashesTotal.Inc()
	w.log.Warnw("instance crashed under requests", "Instance", p.instance.ID, "Born", p.instance.Born, "Service", p.record.Service, "Suspects", suspects)
	key := recordKey(p.instance.InstanceKey, w.self.Name)
	for range maxCommitTries {
		if w.put(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value}}}) {
			return
		}
		if !sleep.For(ctx, commitRetryDelay) {
			return
		}
	}
	w.log.Warnw("crash not recorded: the store does not answer", "Instance", p.instance.ID)
}

// hasCrashed reports whether an instance refuses connections. One that lets them time out
// may be cut off instead.
func (w *Watcher) hasCrashed(ctx context.Context, in site.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := w.prober.Probe(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address})
	var timeout net.Error
	return err != nil && ctx.Err() == nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// put commits a transaction with one put and applies it to the front's view; false if it failed.
func (w *Watcher) put(ctx context.Context, t store.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	if err != nil || !res.Succeeded {
		return false
	}
	w.site.ApplyWritten(store.KV{Key: t.Puts[0].Key, Value: t.Puts[0].Value, Revision: res.Revision})
	return true
}

// RecordAnswer records that the answer to a request is under way or complete, which proves
// all of the request's prompt parts harmless.
func (w *Watcher) RecordAnswer(service string, prompt []site.PromptPart) {
	b := w.blocks.Load()
	if len(b.Watched) == 0 {
		return
	}
	var parts []blame.Part
	watched := false
	for _, id := range sharedParts(prompt) {
		p := blame.Part{Service: service, ID: id}
		parts = append(parts, p)
		watched = watched || b.Watched[p]
	}
	if !watched {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, p := range parts {
		if w.ownHarmless[p] >= b.newest[p] {
			continue
		}
		w.ownHarmless[p], changed = b.newest[p], true
		if !w.shareInProgress[p] {
			w.shareInProgress[p] = true
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
	delete(w.shareInProgress, p)
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
	written := w.put(ctx, store.Txn{If: []store.Compare{{Key: harmlessKey(p), Revision: known.Revision}}, Puts: []store.Put{{Key: harmlessKey(p), Value: value}}})
	w.log.Infow("prompt part harmless", "Service", p.Service, "PromptPart", p.ID, "UpTo", upTo, "Written", written)
}

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
		if strings.HasPrefix(key, harmlessPrefix) {
			// A refutation must outlive the records that it refutes.
			limit = 2 * retention
		}
		if time.Since(seen) > limit && len(t.Deletes) < maxDeletes {
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
