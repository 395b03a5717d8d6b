package kept

import (
	"encoding/binary"
	"math"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

const (
	// changeBytes is about the size of a message's entry for one instance without its parts, as JSON.
	changeBytes = 130
	// maxEncodedPart bounds the size of one encoded part.
	maxEncodedPart = 8 + 2*binary.MaxVarintLen32
)

// jsonBytes returns about the size of a change in a message; parts are encoded as base64.
func jsonBytes(c peers.KeptChange) int {
	return changeBytes + len(c.Parts)*4/3
}

// appendPart appends the encoding of a part that was last known to be used, or dropped, some time ago.
func appendPart(b []byte, h Hash, tokens int, age time.Duration) []byte {
	b = binary.BigEndian.AppendUint64(b, h)
	b = binary.AppendUvarint(b, uint64(min(max(0, tokens), math.MaxInt32)))
	return binary.AppendUvarint(b, uint64(min(max(0, age.Seconds()), math.MaxInt32)))
}

// decodeParts calls fn for each encoded part, and reports whether the encoding is whole.
func decodeParts(b []byte, fn func(h Hash, tokens int, age time.Duration)) bool {
	for len(b) > 0 {
		if len(b) < 8 {
			return false
		}
		h := binary.BigEndian.Uint64(b)
		b = b[8:]
		tokens, n := binary.Uvarint(b)
		if n <= 0 || tokens > math.MaxInt32 {
			return false
		}
		b = b[n:]
		age, n := binary.Uvarint(b)
		if n <= 0 || age > math.MaxInt32 {
			return false
		}
		b = b[n:]
		fn(h, int(tokens), time.Duration(age)*time.Second)
	}
	return true
}

// takeNews returns the changes to pass on, up to about maxBytes, and marks them as passed on.
func (x *index) takeNews(maxBytes int, now time.Time) []peers.KeptChange {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []peers.KeptChange
	for k, s := range x.servers {
		if !s.reset && (!s.polled || len(s.pending) == 0) {
			continue
		}
		room := maxBytes - changeBytes
		if room < maxEncodedPart*4/3 {
			break
		}
		c := s.takeChange(k, room*3/4, now)
		maxBytes -= jsonBytes(c)
		out = append(out, c)
	}
	return out
}

// takeChange returns the pending changes of one server whose parts take at most maxBytes.
func (s *server) takeChange(k site.InstanceKey, maxBytes int, now time.Time) peers.KeptChange {
	c := peers.KeptChange{Instance: k, Epoch: s.epoch, Reset: s.reset, AddedPerSecond: int(s.added.Rate(now))}
	s.reset = false
	for h := range s.pending {
		if len(c.Parts)+maxEncodedPart > maxBytes {
			break
		}
		delete(s.pending, h)
		p := s.parts[h]
		c.Parts = appendPart(c.Parts, h, p.tokens, now.Sub(p.at))
		p.passed = p.tokens > 0
		s.parts[h] = p
	}
	return c
}

// repeatNews marks all shared parts of the polled instances for passing on, as after a message that
// was lost or to a new planner.
func (x *index) repeatNews() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.servers {
		if !s.polled {
			continue
		}
		for h, p := range s.parts {
			if p.passed || p.tokens > 0 && x.sharing.isShared(h) {
				s.pending[h] = true
			}
		}
	}
}

// repeatResets marks the drops in a message that was lost for passing on.
func (x *index) repeatResets(changes []peers.KeptChange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		if s := x.servers[c.Instance]; s != nil && c.Reset {
			s.reset = true
		}
	}
}

// merge applies a change that another front reported. What this front polls itself it knows better.
func (x *index) merge(c peers.KeptChange, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.servers[c.Instance]
	if s == nil || s.polled {
		return
	}
	if c.Reset || s.epoch != c.Epoch {
		clear(s.parts)
	}
	s.epoch, s.source, s.remoteRate = c.Epoch, c.From, float64(c.AddedPerSecond)
	decodeParts(c.Parts, func(h Hash, tokens int, age time.Duration) {
		at := now.Add(-age - c.Age)
		if at.After(s.parts[h].at) {
			s.parts[h] = part{tokens: tokens, at: at, passed: tokens > 0}
		}
	})
	x.bound(s)
}
