package begun

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// streamKey identifies a stream of a service.
type streamKey uint64

// keyOf returns the key of the stream whose first event came with a request.
func keyOf(service, id string) streamKey {
	return streamKey(xxhash.Sum64String(service + "\x00" + id))
}

// entry is a stream, and the version that began it.
type entry struct {
	key     streamKey
	version string
	at      time.Time
	// ahead is true if the caller gets no event before the stream is recorded.
	ahead bool
}

// memory holds streams in the order in which they were learned of.
type memory struct {
	limit   int
	entries []entry
	// first is the number of entries that were dropped, and so the number of the first one held.
	first    int
	versions map[streamKey]string
	// ended are the streams that their callers have in whole, so that nobody takes them up.
	ended map[streamKey]bool
}

func newMemory(limit int) *memory {
	return &memory{limit: limit, versions: map[streamKey]string{}, ended: map[streamKey]bool{}}
}

// add adds a stream; one that is held with another version has an unknown version from then on.
func (m *memory) add(e entry) {
	if known, ok := m.versions[e.key]; ok {
		if known != e.version {
			m.versions[e.key] = ""
		}
		return
	}
	if len(m.entries) >= m.limit {
		m.drop(1)
	}
	m.entries = append(m.entries, e)
	m.versions[e.key] = e.version
}

// dropBefore drops the streams that were learned of before a time.
func (m *memory) dropBefore(t time.Time) {
	n := 0
	for n < len(m.entries) && m.entries[n].at.Before(t) {
		n++
	}
	m.drop(n)
}

// drop drops the n oldest streams.
func (m *memory) drop(n int) {
	for _, e := range m.entries[:n] {
		delete(m.versions, e.key)
		delete(m.ended, e.key)
	}
	m.entries = m.entries[n:]
	m.first += n
}

// end marks a stream as ended.
func (m *memory) end(k streamKey) {
	if _, ok := m.versions[k]; ok {
		m.ended[k] = true
	}
}

// next returns the number of the stream that is added next.
func (m *memory) next() int {
	return m.first + len(m.entries)
}

// unended returns the streams from the one with a number on that have not ended, and the number of the
// stream after them.
func (m *memory) unended(number int) (entries []entry, next int) {
	for _, e := range m.entries[min(len(m.entries), max(0, number-m.first)):] {
		if !m.ended[e.key] {
			entries = append(entries, e)
		}
	}
	return entries, m.next()
}
