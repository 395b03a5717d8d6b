package peer

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxGreetingBytes bounds the messages of a connection whose other end has not named itself.
	maxGreetingBytes = 4 << 10
	// minCountedBytes is the size from which an unfinished message counts.
	minCountedBytes = 16 << 10
	// unfinishedTime is how long a message may stay unfinished while others wait for its memory.
	unfinishedTime = time.Second
	// defaultMaxUnfinished is the bound on unfinished messages of servers without one of their own.
	defaultMaxUnfinished = 8 << 20
)

// unfinished bounds the memory of the messages that a server's connections have sent in part. A message
// waits for memory; while others wait, one that has been unfinished for long loses its connection.
type unfinished struct {
	mu    sync.Mutex
	limit int
	used  int
	// messages are *unfinishedMessage, the oldest first.
	messages list.List
	// freed is closed at the next release; nil if nobody waits for it.
	freed chan struct{}
}

type unfinishedMessage struct {
	bytes int
	since time.Time
	close func()
}

// take waits for the memory of a message, and returns the function that releases it. The one that closes the
// message's connection is called if others need the memory.
func (u *unfinished) take(n int, closeConn func()) (release func()) {
	if n < minCountedBytes {
		return func() {}
	}
	for {
		e, freed, wait := u.tryTake(n, closeConn)
		if e != nil {
			return func() { u.release(e) }
		}
		timer := time.NewTimer(wait)
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryTake takes the memory of a message if there is enough. Otherwise it returns a channel that is closed when
// some is released, and the time after which to try again.
func (u *unfinished) tryTake(n int, closeConn func()) (e *list.Element, freed <-chan struct{}, wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.used > 0 && u.used+n > u.limit {
		first := u.messages.Front()
		oldest, _ := first.Value.(*unfinishedMessage)
		if wait := unfinishedTime - time.Since(oldest.since); wait > 0 {
			if u.freed == nil {
				u.freed = make(chan struct{})
			}
			return nil, u.freed, wait
		}
		u.remove(first)
		oldest.close()
	}
	u.used += n
	return u.messages.PushBack(&unfinishedMessage{n, time.Now(), closeConn}), nil, 0
}

// release releases the memory of a message, unless that has been done.
func (u *unfinished) release(e *list.Element) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remove(e)
}

// remove removes a message; the caller holds the lock.
func (u *unfinished) remove(e *list.Element) {
	m, _ := e.Value.(*unfinishedMessage)
	if m.bytes == 0 {
		return
	}
	u.messages.Remove(e)
	u.used -= m.bytes
	m.bytes = 0
	if u.freed != nil {
		close(u.freed)
		u.freed = nil
	}
}
