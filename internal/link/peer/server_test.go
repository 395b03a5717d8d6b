package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/test/memnet"
)

// shortListener fails to accept once, as a process without descriptors does.
type shortListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerBoundsUnknownConnections guards against connections without a handshake that take all
// descriptors, and against a server that ends when there are none.
func TestServerBoundsUnknownConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New()
		defer network.Close()
		hello := func() Hello { return Hello{Node: "n"} }
		s, closeServer := NewServer(&shortListener{Listener: network.Listen("front:3")}, NewMux(), hello)
		s.SetMaxUnknown(3)
		var group conc.WaitGroup
		group.Go(func() { _ = s.Serve(context.Background()) })
		pool, closePool := NewPool(network.Dial, NewMux(), hello)
		known, err := pool.Get(t.Context(), "front:3")
		g.Expect(err).NotTo(HaveOccurred())
		var silent []net.Conn
		for range 5 {
			conn, err := network.Dial(t.Context(), "front:3")
			g.Expect(err).NotTo(HaveOccurred())
			silent = append(silent, conn)
			time.Sleep(time.Second)
		}
		for i, conn := range silent {
			// A pipe whose other end is closed takes no deadline.
			err := conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			g.Expect(err == nil).To(Equal(i >= 2), "connection %d: %v", i, err)
		}
		select {
		case <-known.Done():
			t.Error("a connection with a handshake was closed")
		default:
		}
		closePool()
		closeServer()
		group.Wait()
	})
}

// TestUnfinishedMessagesLeaveMemoryForOthers guards against connections that hold memory with messages that
// they don't end (issue 53): others are read within unfinishedTime, and what is held stays within the bound.
func TestUnfinishedMessagesLeaveMemoryForOthers(t *testing.T) {
	const message, holders = 100 << 10, 12
	for _, c := range []struct {
		name  string
		limit int
		// closed is the number of holders that lose their connections for one message of others.
		closed int
	}{
		{"room for all", 2 * message * holders, 0},
		{"no room for one more", message * holders, 1},
		{"no room for two", message, holders},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				u := &unfinished{limit: c.limit}
				var group conc.WaitGroup
				var closed, mostUsed atomic.Int64
				for range holders {
					group.Go(func() {
						u.take(message, func() { closed.Add(1) })
						u.mu.Lock()
						defer u.mu.Unlock()
						mostUsed.Store(max(mostUsed.Load(), int64(u.used)))
					})
				}
				time.Sleep(holders * unfinishedTime)
				before, began := closed.Load(), time.Now()
				u.take(message, func() {})()
				g.Expect(time.Since(began)).To(BeNumerically("<=", unfinishedTime))
				g.Expect(int(closed.Load())).To(Equal(c.closed), "%d of them before", before)
				g.Expect(mostUsed.Load()).To(BeNumerically("<=", c.limit))
				u.take(minCountedBytes-1, nil)()
				group.Wait()
			})
		})
	}
}

// TestGreetingIsShort guards against large messages of connections that have not named themselves.
func TestGreetingIsShort(t *testing.T) {
	g := NewWithT(t)
	c := &Conn{}
	c.remote.Store(&Hello{})
	g.Expect(c.maxMessageBytes()).To(Equal(maxGreetingBytes))
	c.remote.Store(&Hello{Node: "n"})
	g.Expect(c.maxMessageBytes()).To(Equal(MaxFrameBytes))
}
