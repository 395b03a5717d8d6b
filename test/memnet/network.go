package memnet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/sourcegraph/conc"
)

// Network connects dialers with listeners by address.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	unreachable map[string]bool
	servers     conc.WaitGroup
	stopFuncs   []func()
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, unreachable: map[string]bool{}}
}

var errRefused = errors.New("connection refused")

// Dial connects to the listener at an address. It returns an error at once if
// the address has no listener, and blocks until the context ends if the address
// is cut off.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, unreachable := n.listeners[address], n.unreachable[address]
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	dialerEnd, listenerEnd := net.Pipe()
	select {
	case l.conns <- listenerEnd:
		return dialerEnd, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetUnreachable makes new connections to an address hang while on is true, and lets them
// through again when it is false. Open connections are not affected.
func (n *Network) SetUnreachable(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = on
}

// Listen returns a listener at an address. It replaces an older listener there.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{}), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Serve serves a handler at an address and returns the function that stops the server.
func (n *Network) Serve(address string, h http.Handler) func() {
	l := n.Listen(address)
	server := &http.Server{Handler: h}
	n.servers.Go(func() {
		// Serve returns an error only because the server was closed.
		_ = server.Serve(l)
	})
	stop := sync.OnceFunc(func() { _ = server.Close() })
	n.mu.Lock()
	n.stopFuncs = append(n.stopFuncs, stop)
	n.mu.Unlock()
	return stop
}

// Close stops all servers that Serve has started and waits until they have ended.
func (n *Network) Close() {
	for _, stop := range n.stopFuncs {
		stop()
	}
	n.servers.Wait()
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	network *Network
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections and frees the address, unless a newer
// listener has it. It returns nil.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return pipeAddress(l.address)
}

type pipeAddress string

// Network returns "pipe".
func (pipeAddress) Network() string { return "pipe" }

// String returns the address as a string.
func (a pipeAddress) String() string { return string(a) }
