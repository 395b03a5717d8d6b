package crash

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"

	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/store"
)

const (
	// collectedRevisions is added to the numbers of collected evidence, so that it counts as newer
	// than all that the store has.
	collectedRevisions = 1 << 52
	// maxCollected bounds the evidence that is collected, and that one front reports.
	maxCollected = 64
)

// Collector collects the fronts' evidence while the store is away, and numbers it.
type Collector struct {
	mu sync.Mutex
	// epoch names the collection, empty if there is none.
	epoch string
	items map[string]peers.Evidence
	last  int64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{items: map[string]peers.Evidence{}}
}

// Exchange adds a front's evidence and returns what it lacks. While the store answers, nothing is collected.
func (c *Collector) Exchange(r peers.EvidenceReport, storeAway bool) peers.EvidenceReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !storeAway {
		c.epoch, c.last = "", 0
		clear(c.items)
		return peers.EvidenceReply{}
	}
	if c.epoch == "" {
		c.epoch = uuid.NewString()
	}
	for _, e := range r.New {
		before, known := c.items[e.Key]
		if known && (bytes.Equal(before.Value, e.Value) || !isNewer(e, before)) || !known && len(c.items) >= maxCollected {
			continue
		}
		c.last++
		e.Number = c.last
		c.items[e.Key] = e
	}
	reply := peers.EvidenceReply{Epoch: c.epoch}
	for _, e := range c.items {
		if r.Epoch != c.epoch || e.Number > r.Last {
			reply.Collected = append(reply.Collected, e)
		}
	}
	slices.SortFunc(reply.Collected, func(a, b peers.Evidence) int { return int(a.Number - b.Number) })
	return reply
}

// Claim collects evidence under a key if nothing but what the claiming front knows has been
// collected there. While the store answers, no claim is taken.
func (c *Collector) Claim(r peers.EvidenceClaim, storeAway bool) peers.EvidenceClaimReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.items[r.Evidence.Key]
	if !storeAway || c.epoch == "" || r.Epoch != c.epoch || known.Number != r.Evidence.Number || !ok && len(c.items) >= maxCollected {
		return peers.EvidenceClaimReply{}
	}
	c.last++
	r.Evidence.Number = c.last
	c.items[r.Evidence.Key] = r.Evidence
	return peers.EvidenceClaimReply{Taken: true, Number: c.last}
}

// isNewer reports whether evidence replaces earlier evidence under its key: a longer crash record
// of the same front, or a harmless part that refutes more records.
func isNewer(e, before peers.Evidence) bool {
	if strings.HasPrefix(e.Key, recordPrefix) {
		return len(e.Value) > len(before.Value)
	}
	var after, old harmlessPart
	return json.Unmarshal(e.Value, &after) == nil && (json.Unmarshal(before.Value, &old) != nil || after.UpTo > old.UpTo)
}

// Evidence returns what neither the store nor the planner has taken from this front, and what
// this front has of the collected evidence.
func (w *Watcher) Evidence() peers.EvidenceReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := peers.EvidenceReport{Epoch: w.epoch}
	for key, value := range w.unwritten {
		if len(r.New) < maxCollected && !bytes.Equal(w.collected[key].Value, value) {
			r.New = append(r.New, peers.Evidence{Key: key, Value: value})
		}
	}
	for _, kv := range w.collected {
		r.Last = max(r.Last, kv.Revision-collectedRevisions)
	}
	return r
}

// ApplyEvidence applies the planner's reply to a report.
func (w *Watcher) ApplyEvidence(reply peers.EvidenceReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The planner is in reach, so that trials are claimed there.
	w.forgetOwnTrials()
	if reply.Epoch == w.epoch && len(reply.Collected) == 0 {
		return
	}
	if reply.Epoch != w.epoch {
		w.log.Infow("evidence collected while the store is away", "Epoch", reply.Epoch, "Before", w.epoch, "Keys", len(w.collected))
		w.epoch = reply.Epoch
		clear(w.collected)
		w.forgetCollected()
	}
	for _, e := range reply.Collected {
		if strings.HasPrefix(e.Key, recordPrefix) || strings.HasPrefix(e.Key, harmlessPrefix) || strings.HasPrefix(e.Key, trialPrefix) {
			w.collected[e.Key] = store.KV{Key: e.Key, Value: e.Value, Revision: collectedRevisions + e.Number}
		}
	}
	w.update()
}

// forgetCollected ends what was learned from the numbers of a collection that has ended; the
// caller holds the lock.
func (w *Watcher) forgetCollected() {
	stored := readEvidence(w.stored)
	for p, upTo := range w.ownHarmless {
		if upTo > collectedRevisions {
			w.ownHarmless[p] = stored.newest[p].Revision
		}
	}
	for key, value := range w.unwritten {
		var h harmlessPart
		if strings.HasPrefix(key, harmlessPrefix) && json.Unmarshal(value, &h) == nil && h.UpTo > collectedRevisions {
			delete(w.unwritten, key)
		}
	}
}

// NewEvidence returns a channel that delivers when there is evidence that the store has not taken yet.
func (w *Watcher) NewEvidence() <-chan struct{} {
	return w.newEvidence
}

// setUnwritten records evidence that the store has not taken; a nil value ends that.
func (w *Watcher) setUnwritten(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if value == nil {
		delete(w.unwritten, key)
		return
	}
	w.unwritten[key] = value
	select {
	case w.newEvidence <- struct{}{}:
	default:
	}
}

// merged returns the evidence in the store and what was collected beyond it; the caller holds the lock.
func (w *Watcher) merged() map[string]store.KV {
	out := make(map[string]store.KV, len(w.stored)+len(w.collected))
	for key, kv := range w.collected {
		out[key] = kv
	}
	for key, kv := range w.stored {
		// A harmless part or a trial that was collected is newer than the one in the store.
		if _, ok := out[key]; !ok || strings.HasPrefix(key, recordPrefix) {
			out[key] = kv
		}
	}
	for key, kv := range w.ownTrials {
		out[key] = kv
	}
	return out
}
