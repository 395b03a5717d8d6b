package kept

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/reuse"
)

const (
	// maxParts bounds the parts of all instances, about 3 MB, and minPartsEach and maxPartsEach those of one.
	maxParts     = 40_000
	minPartsEach = 128
	maxPartsEach = 4096
)

// Hash identifies a prompt part that is read for a model and adapter.
type Hash = uint64

// HashOf returns the hash of a prompt part.
func HashOf(t site.Target, id string) Hash {
	return xxhash.Sum64String(t.Model + "/" + t.Name + "/" + id)
}

// PartState is what is known of a prompt part at an instance; the zero value if nothing is.
type PartState struct {
	// Tokens is how much of the part is kept, 0 if it was dropped at At.
	Tokens int
	// At is the time of the last news or use of the part.
	At time.Time
}

// index holds the known contents of the instances' prompt caches.
type index struct {
	mu      sync.Mutex
	servers map[site.InstanceKey]*server
	sharing sharing
}

// server is the known content of one instance's prompt cache.
type server struct {
	// total is the instance's memory in tokens, and used the used part in its last known report, 0 if not known.
	total, used int
	// polled is true while this front polls the instance.
	polled bool
	epoch  string
	// source is the front whose news this is, empty if there is none.
	source string
	// newsAt is when this front's last poll was answered; news of other fronts is as old as the planner's last reply.
	newsAt time.Time
	// added counts the tokens newly kept as this front saw, and remoteRate is their rate as another front reported it.
	added      decay.Count
	remoteRate float64
	parts      map[Hash]part
	// pending are the parts whose changes are to be passed on; reset is set if a drop of all is.
	pending map[Hash]bool
	reset   bool
}

// part is a kept or dropped prompt part.
type part struct {
	tokens int
	at     time.Time
	// number is that of the newest event of the part, in the instance's epoch.
	number int64
	// passed is true once other fronts may know the part as kept.
	passed bool
}

func newIndex() *index {
	return &index{servers: map[site.InstanceKey]*server{}, sharing: newSharing()}
}

// setInstances sets the instances whose caches may be known, with their memory in tokens.
func (x *index) setInstances(totals map[site.InstanceKey]int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.servers, func(k site.InstanceKey, _ *server) bool {
		_, ok := totals[k]
		return !ok
	})
	for k, total := range totals {
		s := x.servers[k]
		if s == nil {
			s = &server{parts: map[Hash]part{}, pending: map[Hash]bool{}}
			x.servers[k] = s
		}
		s.total = total
	}
}

// setPolled sets whether this front polls an instance.
func (x *index) setPolled(k site.InstanceKey, polled bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.servers[k]; s != nil {
		s.polled = polled
		clear(s.pending)
	}
}

// dropReason is why an index was dropped; empty if it was not.
type dropReason string

const (
	gap      dropReason = "gap"
	newEpoch dropReason = "new epoch"
	silent   dropReason = "silent"
)

// apply applies the answer to this front's poll, and returns why the earlier index was dropped, if it was.
func (x *index) apply(k site.InstanceKey, self string, r site.KeptEvents, now time.Time) dropReason {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.servers[k]
	if s == nil {
		return ""
	}
	var reason dropReason
	switch {
	case s.epoch != "" && s.epoch != r.Epoch:
		reason = newEpoch
	case r.Lost && len(s.parts) > 0:
		reason = gap
	}
	if reason != "" {
		s.drop()
	}
	// The first answer lists events of any age, which tell nothing of the current rate.
	isFirst := reason != "" || s.newsAt.IsZero() || s.source != self
	s.epoch, s.source, s.newsAt = r.Epoch, self, now
	for _, e := range r.Events {
		if kept := x.applyEvent(s, e, now); !isFirst && kept > 0 {
			s.added = s.added.Add(float64(kept), now)
		}
	}
	x.bound(s)
	return reason
}

// applyEvent applies one event and returns the number of tokens that are newly kept; the caller holds the lock.
func (x *index) applyEvent(s *server, e site.KeptEvent, now time.Time) int {
	h := HashOf(e.Target, e.ID)
	before, known := s.parts[h]
	if known && e.Number <= before.number {
		return 0
	}
	after := part{tokens: e.Tokens, at: now, number: e.Number, passed: before.passed}
	if e.Dropped {
		after.tokens = 0
		if before.passed {
			s.pending[h] = true
		}
		s.parts[h] = after
		return 0
	}
	if x.sharing.add(h, added) && e.Tokens != before.tokens {
		s.pending[h] = true
	}
	s.parts[h] = after
	return max(0, e.Tokens-before.tokens)
}

// drop forgets the content of a cache, here and, if it was passed on, at other fronts.
func (s *server) drop() {
	for _, p := range s.parts {
		if p.passed {
			s.reset = true
			break
		}
	}
	clear(s.parts)
	clear(s.pending)
	s.added = decay.Count{}
}

// dropSilent drops the index of an instance that does not answer polls, and reports whether there was one.
func (x *index) dropSilent(k site.InstanceKey) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.servers[k]
	if s == nil || len(s.parts) == 0 {
		return false
	}
	s.drop()
	return true
}

// bound drops the parts of a server beyond its share of the memory, the least recently used
// first; the caller holds the lock.
func (x *index) bound(s *server) {
	limit := min(maxPartsEach, max(minPartsEach, maxParts/max(1, len(x.servers))))
	if len(s.parts) <= limit {
		return
	}
	hashes := slices.SortedFunc(maps.Keys(s.parts), func(a, b Hash) int {
		return cmp.Or(s.parts[a].at.Compare(s.parts[b].at), cmp.Compare(a, b))
	})
	// A quarter is dropped at once, so that this is rare.
	for _, h := range hashes[:len(hashes)-limit*3/4] {
		delete(s.parts, h)
		delete(s.pending, h)
	}
}

// observe notes the parts of a request's prompt, in order.
func (x *index) observe(parts []Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, h := range parts {
		use := requested
		if i < len(parts)-1 {
			use |= shared
		}
		if x.sharing.isShared(h) || !x.sharing.add(h, use) {
			continue
		}
		for _, s := range x.servers {
			if p, ok := s.parts[h]; ok && s.polled && p.tokens > 0 && !p.passed {
				s.pending[h] = true
			}
		}
	}
}

// newsOrigin is the front whose news of an instance is known, "" if there is none, and the time of
// this front's own newest poll.
type newsOrigin struct {
	front string
	at    time.Time
}

// state appends what is known of parts at an instance to out, one element each, and returns it with
// the instance's memory, whose NewsAge is not set.
func (x *index) state(out []PartState, k site.InstanceKey, parts []Hash, now time.Time) ([]PartState, reuse.Memory, newsOrigin) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.servers[k]
	if s == nil {
		return append(out, make([]PartState, len(parts))...), reuse.Memory{}, newsOrigin{}
	}
	for _, h := range parts {
		p := s.parts[h]
		out = append(out, PartState{p.tokens, p.at})
	}
	m := reuse.Memory{TotalTokens: s.total, UsedTokens: s.used, AddedPerSecond: s.remoteRate}
	if s.polled {
		m.AddedPerSecond = s.added.Rate(now)
	}
	return out, m, newsOrigin{s.source, s.newsAt}
}

// setUsed records the used memory of an instance in its last report.
func (x *index) setUsed(k site.InstanceKey, tokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.servers[k]; s != nil {
		s.used = tokens
	}
}

// count returns the numbers of polled instances and of kept parts.
func (x *index) count() (polled, parts int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.servers {
		if s.polled {
			polled++
		}
		parts += len(s.parts)
	}
	return polled, parts
}
