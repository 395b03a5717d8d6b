package crash

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/blame"
)

const (
	// recordPrefix is the prefix of the fronts' records of crashes.
	recordPrefix = follow.SystemPrefix + "crashes/"
	// harmlessPrefix is the prefix of the prompt parts that answers have proved harmless.
	harmlessPrefix = follow.SystemPrefix + "harmless/"
)

// record is what one front saw of the crash of an instance.
type record struct {
	Service  string
	Suspects []blame.Suspect
}

// harmlessPart is a prompt part of which an answer came after the crash records up to a revision were known.
type harmlessPart struct {
	Service string
	Part    string
	// UpTo is the revision of the newest refuted crash record.
	UpTo int64
}

// recordKey returns the key of a front's record of the crash of an incarnation.
func recordKey(k site.InstanceKey, front string) string {
	return recordPrefix + k.ID + "." + strconv.FormatInt(k.Born, 10) + "/" + front
}

// harmlessKey returns the key of a harmless part.
func harmlessKey(p blame.Part) string {
	return harmlessPrefix + partKey(p)
}

// partKey returns the end of the keys of a part; its ID comes from callers, so it is hashed.
func partKey(p blame.Part) string {
	return p.Service + "/" + strconv.FormatUint(xxhash.Sum64String(p.ID), 16)
}

// evidence is what the keys in the store tell of crashes.
type evidence struct {
	crashes  []blame.Crash
	harmless map[blame.Part]int64
	// newest gives for each prompt part the newest crash record that names it, and its revision.
	newest map[blame.Part]store.KV
	trials map[blame.Part]trialClaim
}

// readEvidence decodes the keys under the package's prefixes; undecodable ones are left out.
func readEvidence(keys map[string]store.KV) evidence {
	e := evidence{harmless: map[blame.Part]int64{}, newest: map[blame.Part]store.KV{}, trials: map[blame.Part]trialClaim{}}
	for key, kv := range keys {
		if rest, ok := strings.CutPrefix(key, recordPrefix); ok {
			e.addRecord(rest, kv)
			continue
		}
		if strings.HasPrefix(key, trialPrefix) {
			c := trialClaim{revision: kv.Revision}
			if json.Unmarshal(kv.Value, &c.trial) == nil {
				e.trials[blame.Part{Service: c.Service, ID: c.Part}] = c
			}
			continue
		}
		var h harmlessPart
		if json.Unmarshal(kv.Value, &h) == nil {
			p := blame.Part{Service: h.Service, ID: h.Part}
			e.harmless[p] = max(e.harmless[p], h.upToIn(kv))
		}
	}
	return e
}

// upToIn returns up to which revision crash records are refuted in the era of the value's key. If the store
// came back from a copy with the value, it came back with these records as well, at the same revisions.
func (h harmlessPart) upToIn(kv store.KV) int64 {
	if h.UpTo > collectedRevisions || store.EraOf(h.UpTo) >= store.EraOf(kv.Revision) {
		return h.UpTo
	}
	rebased, err := store.Position(store.EraOf(kv.Revision), store.RevisionOf(h.UpTo))
	if err != nil {
		return h.UpTo
	}
	return rebased
}

// addRecord adds a crash record whose key ends in rest.
func (e *evidence) addRecord(rest string, kv store.KV) {
	var r record
	if json.Unmarshal(kv.Value, &r) != nil {
		return
	}
	instance, _, _ := strings.Cut(rest, "/")
	e.crashes = append(e.crashes, blame.Crash{Instance: instance, Service: r.Service, Revision: kv.Revision, Suspects: r.Suspects})
	for _, s := range r.Suspects {
		for _, id := range s.Parts {
			if p := (blame.Part{Service: r.Service, ID: id}); kv.Revision > e.newest[p].Revision {
				e.newest[p] = kv
			}
		}
	}
}

// carryRefutations keeps crash records refuted that the store lists at higher positions since it came back from a
// copy, which may lack what refutes them; the caller holds the lock.
func (w *Watcher) carryRefutations(all map[string]store.KV) {
	var harmless map[blame.Part]int64
	for key, kv := range all {
		before, known := w.keys[key]
		if !known || !strings.HasPrefix(key, recordPrefix) || kv.Revision > collectedRevisions || store.EraOf(kv.Revision) <= store.EraOf(before.Revision) {
			continue
		}
		if harmless == nil {
			harmless = readEvidence(w.keys).harmless
			for p, upTo := range w.ownHarmless {
				harmless[p] = max(harmless[p], upTo)
			}
		}
		var r record
		if json.Unmarshal(kv.Value, &r) != nil {
			continue
		}
		for _, s := range r.Suspects {
			for _, id := range s.Parts {
				if p := (blame.Part{Service: r.Service, ID: id}); before.Revision <= harmless[p] {
					w.ownHarmless[p] = max(w.ownHarmless[p], kv.Revision)
				}
			}
		}
	}
}
