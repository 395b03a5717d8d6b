package kept

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
)

const (
	// maxLogBytes bounds the changes that the planner retains: what a front that knows nothing can
	// read in about a minute.
	maxLogBytes = 96 << 10
	// maxFrontBytes bounds what is taken from one report.
	maxFrontBytes = 8 << 10
	// silentAfter is the time without a report after which a front's earlier changes count as old;
	// reports come at least every second, on large sites every few seconds.
	silentAfter = 8 * time.Second
)

// Log retains the changes that fronts have reported, where this front is the planner, for others to read.
type Log struct {
	mu    sync.Mutex
	epoch string
	// entries are the retained changes; first is the number of those before them.
	entries []logEntry
	first   int64
	bytes   int
	// reportedAt is when each front that has reported changes last sent a report.
	reportedAt map[string]time.Time
}

type logEntry struct {
	peers.KeptChange
	at time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{epoch: uuid.NewString(), reportedAt: map[string]time.Time{}}
}

// Exchange adds a front's changes and returns what it lacks of the others'; nil if it follows no prompt caches.
func (l *Log) Exchange(front string, r *peers.KeptReport) *peers.KeptReply {
	if r == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.add(front, r.New, now)
	reply := &peers.KeptReply{Silent: l.silentFronts(front, now)}
	next := l.first
	if r.After.Epoch == l.epoch {
		next = min(max(next, r.After.Number), l.first+int64(len(l.entries)))
	}
	left := r.MaxBytes
	for _, e := range l.entries[next-l.first:] {
		if e.From != front {
			size := jsonBytes(e.KeptChange)
			if size > left && len(reply.Changes) > 0 || left <= 0 {
				break
			}
			left -= size
			e.Age = now.Sub(e.at)
			reply.Changes = append(reply.Changes, e.KeptChange)
		}
		next++
	}
	reply.Next = follow.Cursor{Epoch: l.epoch, Number: next}
	return reply
}

// add appends a front's changes and drops the oldest ones; the caller holds the lock.
func (l *Log) add(front string, changes []peers.KeptChange, now time.Time) {
	_, known := l.reportedAt[front]
	if known || len(changes) > 0 {
		l.reportedAt[front] = now
	}
	taken := 0
	for _, c := range changes {
		if taken += jsonBytes(c); taken > maxFrontBytes {
			break
		}
		c.From, c.Age = front, 0
		l.entries = append(l.entries, logEntry{c, now})
		l.bytes += jsonBytes(c)
	}
	drop := 0
	for l.bytes > maxLogBytes {
		l.bytes -= jsonBytes(l.entries[drop].KeptChange)
		drop++
	}
	l.entries = slices.Delete(l.entries, 0, drop)
	l.first += int64(drop)
}

// silentFronts returns the other fronts that have reported changes, but nothing for some time; the
// caller holds the lock.
func (l *Log) silentFronts(front string, now time.Time) []string {
	var out []string
	for name, at := range l.reportedAt {
		if age := now.Sub(at); name != front && age > silentAfter {
			out = append(out, name)
			if age > time.Hour {
				delete(l.reportedAt, name)
			}
		}
	}
	slices.Sort(out)
	return out
}
