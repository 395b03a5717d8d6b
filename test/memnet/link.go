package memnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// segmentBytes is how much a connection sends or receives before another one of its link has its turn.
const segmentBytes = 4096

// Link is the link of a machine: all its connections share the bandwidth, which is the same in both directions.
type Link struct {
	bytesPerSecond float64
	in, out        lane
	pumps          conc.WaitGroup
}

// lane is one direction of a link.
type lane struct {
	mu       sync.Mutex
	freeAt   time.Time
	carried  atomic.Int64
	capacity float64
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{bytesPerSecond: bytesPerSecond, in: lane{capacity: bytesPerSecond}, out: lane{capacity: bytesPerSecond}}
}

// BytesPerSecond returns the bandwidth of each direction.
func (l *Link) BytesPerSecond() float64 { return l.bytesPerSecond }

// Received returns the number of bytes that the machine has received.
func (l *Link) Received() int64 { return l.in.carried.Load() }

// Sent returns the number of bytes that the machine has sent.
func (l *Link) Sent() int64 { return l.out.carried.Load() }

// carry waits until the lane has carried n bytes after those before them.
func (l *lane) carry(n int) {
	l.carried.Add(int64(n))
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.capacity * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(until.Sub(now))
}

// Conn returns a connection of the link's machine that carries the bytes of c.
func (l *Link) Conn(c net.Conn) net.Conn {
	out := &linkConn{Conn: c, link: l, more: make(chan struct{}, 1)}
	l.pumps.Go(out.pump)
	return out
}

// Listener returns a listener whose connections are those of the link's machine.
func (l *Link) Listener(inner net.Listener) net.Listener {
	return &linkListener{Listener: inner, link: l}
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}

// linkConn buffers what is written, as writers must not wait for virtual time while they hold a lock.
type linkConn struct {
	net.Conn
	link   *Link
	mu     sync.Mutex
	queue  []byte
	closed bool
	more   chan struct{}
}

// Read reads up to segmentBytes and waits until the link has carried them.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), segmentBytes)])
	if n > 0 {
		c.link.in.carry(n)
	}
	return n, err
}

// Write adds to the bytes to send; it fails once the connection is closed.
func (c *linkConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, p...)
	c.wake()
	return len(p), nil
}

// Close closes the connection once what was written has been sent, or after closeTimeout.
func (c *linkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wake()
	if len(c.queue) == 0 {
		return c.Conn.Close()
	}
	return c.SetDeadline(time.Now().Add(closeTimeout))
}

// closeTimeout bounds the time for sending what was written before a connection was closed.
const closeTimeout = time.Second

func (c *linkConn) wake() {
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// next takes up to segmentBytes; ok is false if there are none, and last if there will be no more.
func (c *linkConn) next() (segment []byte, ok, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), segmentBytes)
	segment, c.queue = c.queue[:n], c.queue[n:]
	return segment, n > 0, n == 0 && c.closed
}

// pump sends what is written until the connection is closed.
func (c *linkConn) pump() {
	for {
		segment, ok, last := c.next()
		switch {
		case ok:
			c.link.out.carry(len(segment))
			if _, err := c.Conn.Write(segment); err == nil {
				continue
			}
			c.mu.Lock()
			c.closed, c.queue = true, nil
			c.mu.Unlock()
		case !last:
			<-c.more
			continue
		}
		// The other end may have closed it already.
		_ = c.Conn.Close()
		return
	}
}
