package kvsim

import (
	"maps"
	"slices"
	"time"

	"foxtailcroft/internal/plat/store"
)

// Leases says what becomes of the leases of a copy from which the store returns.
type Leases int

const (
	// LeasesGone are removed with their keys.
	LeasesGone Leases = iota
	// LeasesLapse are gone, but their keys stay for the time that they had left.
	LeasesLapse
	// LeasesKept run on for the time that they had left.
	LeasesKept
)

// Copy is what a MemoryStore held at a time.
type Copy struct {
	takenAt           time.Time
	revision          int64
	current           map[string]store.KV
	log               []logEntry
	leases            map[int64]lease
	lastLeaseID       int64
	compactedRevision int64
}

// Copy returns a copy of what the store holds.
func (m *MemoryStore) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	return Copy{
		takenAt: time.Now(), revision: m.revision, current: maps.Clone(m.current), log: slices.Clone(m.log),
		leases: maps.Clone(m.leases), lastLeaseID: m.lastLeaseID, compactedRevision: m.compactedRevision,
	}
}

// ReturnFrom replaces what the store holds by a copy, and begins an era. Revisions and numbers of leases
// go back to those of the copy and are given out again; leases that were granted since are gone.
func (m *MemoryStore) ReturnFrom(c Copy, leases Leases) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.current, m.log = c.revision, maps.Clone(c.current), slices.Clone(c.log)
	m.leases, m.lastLeaseID, m.compactedRevision = maps.Clone(c.leases), c.lastLeaseID, c.compactedRevision
	now := time.Now()
	for id, l := range m.leases {
		left := l.expires.Sub(c.takenAt)
		if leases == LeasesGone {
			left = 0
		}
		m.leases[id] = lease{ttl: l.ttl, expires: now.Add(left), lost: leases != LeasesKept}
	}
	m.expireLeases()
	m.wakeWatches()
}

// Era returns the era of the store, which counts its returns from a copy, from 1.
func (m *MemoryStore) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
