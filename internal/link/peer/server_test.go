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
