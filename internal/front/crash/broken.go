package crash

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
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
	// commitTimeout bounds one write. The pause after a failed one begins with commitRetryDelay and
	// grows by as much with each, up to maxCommitRetryDelay.
	commitTimeout       = time.Second
	commitRetryDelay    = 200 * time.Millisecond
	maxCommitRetryDelay = 2 * time.Second
	// pendingLifetime is how long further attempts are added to a record.
	pendingLifetime = 30 * time.Second
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
	if len(suspect.Parts) == 0 || w.isLeaving(in) {
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

// isLeaving reports whether an instance is draining or has been removed, so that it ends for that reason.
func (w *Watcher) isLeaving(in site.Instance) bool {
	known, ok := w.site.State().Instances[in.ID]
	return !ok || known.InstanceKey == in.InstanceKey && known.Draining
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
	defer w.setUnwritten(key, nil)
	for tries := 1; time.Since(p.began) < retention; tries++ {
		w.mu.Lock()
		// Further attempts may have been added.
		if newest, err := json.Marshal(p.record); err == nil {
			value = newest
		}
		w.mu.Unlock()
		w.setUnwritten(key, value)
		if w.put(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value}}}) {
			return
		}
		if !sleep.For(ctx, min(time.Duration(tries)*commitRetryDelay, maxCommitRetryDelay)) {
			return
		}
	}
	w.log.Warnw("crash not recorded: the store does not answer", "Instance", p.instance.ID)
}

// hasCrashed reports whether an instance refuses connections. One that lets them time out
// may be cut off instead, and a front without descriptors learns nothing.
func (w *Watcher) hasCrashed(ctx context.Context, in site.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := w.prober.Probe(ctx, conns.Target{InstanceKey: in.InstanceKey, Address: in.Address})
	var timeout net.Error
	return err != nil && ctx.Err() == nil && !conns.IsOwnShortage(err) && !(errors.As(err, &timeout) && timeout.Timeout())
}

// put commits a transaction with one put and applies it to the front's view; false if it failed, or if
// the store does not answer this front: the follower's calls, which back off, show when it does.
func (w *Watcher) put(ctx context.Context, t store.Txn) bool {
	if w.site.Unavailable(0) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := w.store.Commit(ctx, t)
	if err != nil || !res.Succeeded {
		for _, kv := range res.Current {
			w.site.ApplyWritten(kv)
		}
		return false
	}
	w.site.ApplyWritten(store.KV{Key: t.Puts[0].Key, Value: t.Puts[0].Value, Revision: res.Revision})
	return true
}
