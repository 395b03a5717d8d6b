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
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
	group     conc.WaitGroup
	closes    []func()
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, cut: map[string]bool{}}
}

var errRefused = errors.New("connection refused")

// Dial connects to an address; without a listener the connection is refused,
// and to a cut address it hangs until the context ends.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[address], n.cut[address]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetUnreachable makes connections to an address hang, or lets them through again.
func (n *Network) SetUnreachable(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = on
}

// Listen opens an address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{}), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Serve serves a handler at an address and returns the function that ends it.
func (n *Network) Serve(address string, h http.Handler) func() {
	l := n.Listen(address)
	server := &http.Server{Handler: h}
	n.group.Go(func() {
		// Serving ends when the server is closed.
		_ = server.Serve(l)
	})
	end := sync.OnceFunc(func() { _ = server.Close() })
	n.mu.Lock()
	n.closes = append(n.closes, end)
	n.mu.Unlock()
	return end
}

// Close ends all that Serve started.
func (n *Network) Close() {
	for _, end := range n.closes {
		end()
	}
	n.group.Wait()
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

// Close frees the address.
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
	return address(l.address)
}

type address string

// Network names the kind of network.
func (address) Network() string { return "pipe" }

// String returns the address itself.
func (a address) String() string { return string(a) }
