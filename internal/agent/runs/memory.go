package runs

import (
	"container/list"
	"context"
	"sync"
)

// Memory bounds the bytes of bodies and answers that an agent holds. Answers that are being read wait for it;
// so that they don't wait for each other, the oldest of them may exceed the bound.
type Memory struct {
	mu    sync.Mutex
	limit int64
	// used is what is held in all, and reading the part of it that belongs to answers being read.
	used, reading int64
	// readings are *Reading, the oldest first.
	readings list.List
	// freed is closed at the next release; nil if nobody waits for it.
	freed chan struct{}
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// Add counts n more bytes, or fewer if n is negative, without a wait.
func (m *Memory) Add(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(n)
}

// add counts n more or fewer bytes; the caller holds the lock.
func (m *Memory) add(n int64) {
	m.used += n
	if n < 0 {
		m.wake()
	}
}

// wake makes all that wait try again; the caller holds the lock.
func (m *Memory) wake() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// Held returns the bytes that are held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// IsFull reports whether more than the bound is held.
func (m *Memory) IsFull() bool {
	return m.Held() > m.limit
}

// Reading is the memory of one answer until it is kept; its zero value holds nothing. Open it before use.
type Reading struct {
	memory  *Memory
	element *list.Element
	bytes   int64
}

// Open prepares the memory of an answer that is about to be read, and must be closed.
func (m *Memory) Open(r *Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.memory, r.element = m, m.readings.PushBack(r)
}

// Grow charges n more bytes once they fit. The oldest answer waits only while kept ones exceed the bound. The
// error is that of the context.
func (r *Reading) Grow(ctx context.Context, n int64) error {
	for {
		freed := r.tryGrow(n)
		if freed == nil {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryGrow charges n more bytes and returns nil, or a channel that is closed when it should be tried again.
func (r *Reading) tryGrow(n int64) <-chan struct{} {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	isOldest := m.readings.Front() == r.element
	if m.used+n <= m.limit || isOldest && m.used-m.reading <= m.limit {
		m.add(n)
		m.reading += n
		r.bytes += n
		return nil
	}
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// Release gives back n bytes, at most what is held.
func (r *Reading) Release(n int64) {
	if r.memory == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.release(min(n, r.bytes))
}

// release gives back n bytes; the caller holds the lock.
func (r *Reading) release(n int64) {
	r.bytes -= n
	r.memory.reading -= n
	r.memory.add(-n)
}

// Close gives back all bytes; an unopened one stays as it is.
func (r *Reading) Close() {
	if r.memory == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.release(r.bytes)
	r.memory.readings.Remove(r.element)
	r.memory.wake()
	r.memory = nil
}
