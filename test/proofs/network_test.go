package proofs

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/link/peer"
)

// faultyNetwork is an in-memory network. Its links can be closed, or can drop all
// bytes without closing.
type faultyNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	links     map[*link]struct{}
	blocked   map[[2]string]bool
	group     conc.WaitGroup
}

func newFaultyNetwork() *faultyNetwork {
	return &faultyNetwork{listeners: map[string]*pipeListener{}, links: map[*link]struct{}{}, blocked: map[[2]string]bool{}}
}

// link is one connection through the network.
type link struct {
	from, to string
	ends     [4]net.Conn
	mu       sync.Mutex
	silent   bool
}

func (l *link) close() {
	for _, c := range l.ends {
		_ = c.Close()
	}
}

// copy forwards bytes, or drops them while the link is silent.
func (l *link) copy(dst io.Writer, src io.Reader) {
	defer l.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

type pipeListener struct {
	addr    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	network *faultyNetwork
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

// listen returns a listener at an address, and replaces an earlier listener there.
func (f *faultyNetwork) listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{}), network: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[addr] = l
	return l
}

var errRefused = errors.New("connection refused")

// dialer returns the dial function of the node with the address from.
func (f *faultyNetwork) dialer(from string) peer.Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		f.mu.Lock()
		lis, blocked := f.listeners[to], f.blocked[[2]string{from, to}]
		f.mu.Unlock()
		if blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if lis == nil {
			return nil, errRefused
		}
		return f.connect(ctx, from, to, lis)
	}
}

// connect hands the server end of a new link to the listener and returns the
// client end.
func (f *faultyNetwork) connect(ctx context.Context, from, to string, lis *pipeListener) (net.Conn, error) {
	client, clientPeer := net.Pipe()
	serverPeer, server := net.Pipe()
	l := &link{from: from, to: to, ends: [4]net.Conn{client, clientPeer, serverPeer, server}}
	select {
	case lis.conns <- server:
	case <-lis.closed:
		l.close()
		return nil, errRefused
	case <-ctx.Done():
		l.close()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.links[l] = struct{}{}
	f.mu.Unlock()
	f.group.Go(func() { l.copy(serverPeer, clientPeer) })
	f.group.Go(func() {
		l.copy(clientPeer, serverPeer)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.links, l)
	})
	return client, nil
}

// forEachLink calls fn for each open link between two addresses, in either
// direction. An empty address matches any.
func (f *faultyNetwork) forEachLink(a, b string, fn func(*link)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	match := func(x, y string) bool { return (a == "" || a == x) && (b == "" || b == y) }
	for l := range f.links {
		if match(l.from, l.to) || match(l.to, l.from) {
			fn(l)
		}
	}
}

// silence makes the open links between two addresses drop all bytes. New links
// are not affected.
func (f *faultyNetwork) silence(a, b string) {
	f.forEachLink(a, b, func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silent = true
	})
}

// closeLinks closes all open links of an address, or all links if it is empty.
func (f *faultyNetwork) closeLinks(a string) {
	var toClose []*link
	f.forEachLink(a, "", func(l *link) { toClose = append(toClose, l) })
	for _, l := range toClose {
		l.close()
	}
}

// partition silences the open links between two addresses and makes new
// connections hang until heal.
func (f *faultyNetwork) partition(a, b string) {
	f.mu.Lock()
	f.blocked[[2]string{a, b}], f.blocked[[2]string{b, a}] = true, true
	f.mu.Unlock()
	f.silence(a, b)
}

// heal lets new connections between two addresses through again. Silenced links
// stay silent.
func (f *faultyNetwork) heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blocked, [2]string{a, b})
	delete(f.blocked, [2]string{b, a})
}
