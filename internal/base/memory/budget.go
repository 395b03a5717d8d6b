package memory

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"foxtailcroft/internal/policy/shed"
)

const (
	// SmallBytes is the most that a holder in the room of small requests may hold.
	SmallBytes = 64 << 10
	// smallRoomDivisor and addressShare divide the budget: an eighth of it is for small requests only, and
	// one address gets at most three quarters of the rest, as a load balancer may be the only address.
	smallRoomDivisor    = 8
	addressShareDivisor = 4
	// defaultProcessBytes is the memory assumed for a process that has no known limit.
	defaultProcessBytes = 256 << 20
	// budgetDivisor is the share of a process's memory that the budget gets. The rest is for the program
	// itself (20 MB resident at rest), connections, and memory that is free but not collected yet.
	budgetDivisor = 3
	// ConnectionBytes is the memory that a connection costs beside the budget: two stacks, and the
	// buffers of net/http and of the connection to an instance.
	ConnectionBytes = 32 << 10
	// connectionsDivisor is the share of a process's memory for connections.
	connectionsDivisor = 5
	// freeWait bounds the wait for the memory of holders that were ended.
	freeWait = time.Second
)

// MaxConnections returns how many connections fit into a process's memory; 0 bytes is unknown.
func MaxConnections(processBytes int64) int {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	return int(processBytes / connectionsDivisor / ConnectionBytes)
}

// HeaderBytes returns how much of a process's memory is for headers that are not whole: half of what
// connections get, 16 KB for each; 0 bytes is unknown.
func HeaderBytes(processBytes int64) int64 {
	return int64(MaxConnections(processBytes)) * ConnectionBytes / 2
}

// ErrShort reports that there is no memory for a holder, or that it was ended to make room for others.
var ErrShort = errors.New("memory for requests is short")

// Ender ends the reading of an unfinished body. It must not block or call the budget.
type Ender interface {
	EndReading()
}

// Budget is the memory of all holders of a process.
type Budget struct {
	began time.Time
	mu    sync.Mutex
	// limit and used are by room.
	limit, used [rooms]int64
	// byAddress is what the addresses hold in the common room, and maxPerAddress the most that one may hold.
	byAddress     map[string]int64
	maxPerAddress int64
	// unfinished are the bodies that are being read, also those that were ended and have not closed yet.
	unfinished []*Lease
	// endable are those of them that may be ended to make room for connections.
	endable shed.Unfinished[*Lease]
	// candidates and leases are reused by the search for a holder to end.
	candidates []shed.Body
	leases     []*Lease
	// freed is closed at the next release; nil if nobody waits for it.
	freed chan struct{}
	ended atomic.Uint64
	// shortUntil is until when memory and connections count as short.
	shortUntil atomic.Int64
}

// room is a part of the budget.
type room int

const (
	// commonRoom is for all.
	commonRoom room = iota
	// smallRoom is for holders of up to SmallBytes.
	smallRoom
	rooms
)

// Lease is what one holder has of the budget; its zero value holds nothing. Open it before use.
type Lease struct {
	budget  *Budget
	address string
	room    room
	bytes   int64
	// ender is nil unless the holder is an unfinished body; index is its place among them.
	ender Ender
	index int
	began time.Duration
	// received and lastAt are the progress of the body.
	received, lastAt atomic.Int64
	ended            atomic.Bool
	// endedForMemory is set if the body was ended to make room for the memory of others.
	endedForMemory bool
	entry          shed.Entry[*Lease]
}

// New returns a budget of a share of a process's memory; 0 bytes is unknown.
func New(processBytes int64) *Budget {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	total := processBytes / budgetDivisor
	b := &Budget{began: time.Now(), byAddress: map[string]int64{}}
	b.limit[smallRoom] = total / smallRoomDivisor
	b.limit[commonRoom] = total - b.limit[smallRoom]
	b.maxPerAddress = b.limit[commonRoom] - b.limit[commonRoom]/addressShareDivisor
	return b
}

// Held returns the memory that is held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[commonRoom] + b.used[smallRoom]
}

// Ended returns the number of bodies that were ended to make room for others.
func (b *Budget) Ended() uint64 {
	return b.ended.Load()
}

// Open prepares a lease for a holder that is never ended.
func (b *Budget) Open(l *Lease, address string) {
	l.budget, l.address, l.room = b, address, smallRoom
}

// OpenBody prepares a lease for a body that is being read and may be ended until Finish or Close is
// called. One that is announced to be large takes nothing of the room of small requests; announced is
// 0 or less if the length is not known.
func (b *Budget) OpenBody(l *Lease, address string, e Ender, announced int64) {
	b.Open(l, address)
	if announced > SmallBytes {
		l.room = commonRoom
	}
	l.ender = e
	b.mu.Lock()
	defer b.mu.Unlock()
	l.began = time.Since(b.began)
	l.lastAt.Store(int64(l.began))
	l.index = len(b.unfinished)
	b.unfinished = append(b.unfinished, l)
	b.endable.Add(&l.entry, l, address)
}

// Progress records that bytes of the body have arrived.
func (l *Lease) Progress(n int) {
	l.received.Add(int64(n))
	l.lastAt.Store(int64(time.Since(l.budget.began)))
}

// Received returns how much of the body has arrived.
func (l *Lease) Received() int64 {
	return l.received.Load()
}

// Elapsed returns the time since the lease of a body was opened.
func (l *Lease) Elapsed() time.Duration {
	return time.Since(l.budget.began) - l.began
}

// IsShort reports whether bodies had to be ended or refused a while ago.
func (l *Lease) IsShort() bool {
	return int64(time.Since(l.budget.began)) < l.budget.shortUntil.Load()
}

// markShort records that a body has to be ended or refused.
func (b *Budget) markShort() {
	b.shortUntil.Store(int64(time.Since(b.began) + shed.ShortTime))
}

// Ended reports whether the holder was ended to make room for others.
func (l *Lease) Ended() bool {
	return l.ended.Load()
}

// Grow charges n more bytes, and ends unfinished bodies for them if that is needed. The error is
// ErrShort if the holder is the first to give way, or was ended.
func (l *Lease) Grow(n int64) error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout <-chan time.Time
	for {
		if l.ended.Load() {
			return ErrShort
		}
		if b.charge(l, n) {
			return nil
		}
		if !b.makeRoom(l, n) {
			return ErrShort
		}
		if timeout == nil {
			timer := time.NewTimer(freeWait)
			defer timer.Stop()
			timeout = timer.C
		}
		if !b.awaitFreed(timeout) {
			return ErrShort
		}
	}
}

// TryGrow charges n more bytes if they fit, and reports whether it did. It ends no bodies and doesn't wait.
func (l *Lease) TryGrow(n int64) bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.budget.charge(l, n)
}

// Limit returns the most that one holder may hold.
func (l *Lease) Limit() int64 {
	return l.budget.maxPerAddress
}

// awaitFreed waits for memory to be released, and reports whether it was; the caller holds the lock.
func (b *Budget) awaitFreed(timeout <-chan time.Time) bool {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-freed:
		return true
	case <-timeout:
		return false
	}
}

// charge charges n more bytes if they fit; the caller holds the lock.
func (b *Budget) charge(l *Lease, n int64) bool {
	if l.room == smallRoom && l.bytes+n <= SmallBytes && b.used[smallRoom]+n <= b.limit[smallRoom] {
		b.used[smallRoom] += n
		l.bytes += n
		return true
	}
	need := b.commonNeed(l, n)
	if b.used[commonRoom]+need > b.limit[commonRoom] || b.byAddress[l.address]+need > b.maxPerAddress {
		return false
	}
	if l.room == smallRoom {
		b.used[smallRoom] -= l.bytes
		l.room = commonRoom
		b.signalFreed()
	}
	b.used[commonRoom] += need
	b.byAddress[l.address] += need
	l.bytes += n
	return true
}

// commonNeed returns what the common room must take for n more bytes; a holder that leaves the room
// of small requests takes along what it holds.
func (b *Budget) commonNeed(l *Lease, n int64) int64 {
	if l.room == smallRoom {
		return l.bytes + n
	}
	return n
}

// makeRoom ends unfinished bodies until those that end release enough for n more bytes of a holder;
// false if the holder itself is the first to give way. The caller holds the lock.
func (b *Budget) makeRoom(l *Lease, n int64) bool {
	b.markShort()
	now := time.Since(b.began)
	first := func() int { return shed.First(now, b.candidates) }
	if l.room == smallRoom && l.bytes+n <= SmallBytes {
		oldest := func() int { return shed.Oldest(b.candidates) }
		return b.endUntil(l, b.used[smallRoom]+n-b.limit[smallRoom], oldest, func(o *Lease) bool { return o.room == smallRoom })
	}
	need := b.commonNeed(l, n)
	return b.endUntil(l, b.byAddress[l.address]+need-b.maxPerAddress, first, func(o *Lease) bool { return o.room == commonRoom && o.address == l.address }) &&
		b.endUntil(l, b.used[commonRoom]+need-b.limit[commonRoom], first, func(o *Lease) bool { return o.room == commonRoom })
}

// endUntil ends bodies among those that match, in the order that next gives, until those that end
// hold need bytes; the caller holds the lock.
func (b *Budget) endUntil(l *Lease, need int64, next func() int, matches func(*Lease) bool) bool {
	for need > 0 {
		b.leases, b.candidates = b.leases[:0], b.candidates[:0]
		ending := int64(0)
		for _, o := range b.unfinished {
			switch {
			case o == l, !o.ended.Load() && o.bytes > 0 && matches(o):
				b.leases, b.candidates = append(b.leases, o), append(b.candidates, o.Body())
			case matches(o):
				ending += o.bytes
			}
		}
		if ending >= need {
			return true
		}
		i := next()
		if i < 0 || b.leases[i] == l {
			return false
		}
		b.leases[i].endedForMemory = true
		b.end(b.leases[i])
	}
	return true
}

// Body returns what the decision on a body needs.
func (l *Lease) Body() shed.Body {
	return shed.Body{Bytes: l.bytes, Received: l.received.Load(), Began: l.began, LastAt: time.Duration(l.lastAt.Load())}
}

// end ends an unfinished body; the caller holds the lock.
func (b *Budget) end(l *Lease) {
	b.endable.Remove(&l.entry)
	l.ended.Store(true)
	b.ended.Add(1)
	l.ender.EndReading()
}

// Unfinished reports whether there is an unfinished body that may be ended, and whether one of them
// has stalled or is slow.
func (b *Budget) Unfinished() (one, slow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, slow = b.endable.Slow(time.Since(b.began))
	return b.endable.Len() > 0, slow
}

// EndSlow ends the unfinished body that has stalled or been slow for the longest, for a connection.
func (b *Budget) EndSlow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markShort()
	if l, ok := b.endable.Slow(time.Since(b.began)); ok {
		b.end(l)
	}
}

// EndOldest ends the unfinished body whose reading began first, of the address with the most
// unfinished bodies, for a connection.
func (b *Budget) EndOldest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markShort()
	if l, ok := b.endable.Oldest(); ok {
		b.end(l)
	}
}

// Finish records that the body is complete, so that it is no longer ended; false if it was ended to
// make room for the memory of others. One that was ended for a connection and is complete stays.
func (l *Lease) Finish() bool {
	if l.budget == nil {
		return true
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.removeUnfinished(l)
	if !l.endedForMemory {
		l.ended.Store(false)
	}
	return !l.endedForMemory
}

// removeUnfinished takes a holder off the list of those that may be ended; the caller holds the lock.
func (b *Budget) removeUnfinished(l *Lease) {
	if l.ender == nil {
		return
	}
	b.endable.Remove(&l.entry)
	last := b.unfinished[len(b.unfinished)-1]
	b.unfinished[l.index], last.index = last, l.index
	b.unfinished[len(b.unfinished)-1] = nil
	b.unfinished = b.unfinished[:len(b.unfinished)-1]
	l.ender = nil
}

// Release gives back n bytes.
func (l *Lease) Release(n int64) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.release(l, n)
}

// release gives back n bytes; the caller holds the lock.
func (b *Budget) release(l *Lease, n int64) {
	if n == 0 {
		return
	}
	l.bytes -= n
	b.used[l.room] -= n
	if l.room == commonRoom {
		if b.byAddress[l.address] -= n; b.byAddress[l.address] == 0 {
			delete(b.byAddress, l.address)
		}
	}
	b.signalFreed()
}

// signalFreed wakes those that wait for memory; the caller holds the lock.
func (b *Budget) signalFreed() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Close gives back all memory of the holder; a lease that was never opened stays as it is.
func (l *Lease) Close() {
	if l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.removeUnfinished(l)
	l.budget.release(l, l.bytes)
}
