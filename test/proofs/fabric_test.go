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

// fabric is an in-memory network whose links can be cut, or go silent without closing.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	links     map[*link]struct{}
	blocked   map[[2]string]bool
	group     conc.WaitGroup
}

func newFabric() *fabric {
	return &fabric{listeners: map[string]*pipeListener{}, links: map[*link]struct{}{}, blocked: map[[2]string]bool{}}
}

// link is one connection through the fabric.
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

// copy passes bytes on, or swallows them while the link is silent.
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
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	fabric *fabric
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
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		if l.fabric.listeners[l.addr] == l {
			delete(l.fabric.listeners, l.addr)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

// listen opens an address; a later process may take it over.
func (f *fabric) listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{}), fabric: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[addr] = l
	return l
}

var errRefused = errors.New("connection refused")

// dialer returns the dialer of the node that has the address.
func (f *fabric) dialer(from string) peer.Dialer {
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

func (f *fabric) connect(ctx context.Context, from, to string, lis *pipeListener) (net.Conn, error) {
	client, a := net.Pipe()
	b, server := net.Pipe()
	l := &link{from: from, to: to, ends: [4]net.Conn{client, a, b, server}}
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
	f.group.Go(func() { l.copy(b, a) })
	f.group.Go(func() {
		l.copy(a, b)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.links, l)
	})
	return client, nil
}

// each calls fn for the links between two addresses; an empty address stands for any.
func (f *fabric) each(a, b string, fn func(*link)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	match := func(x, y string) bool { return (a == "" || a == x) && (b == "" || b == y) }
	for l := range f.links {
		if match(l.from, l.to) || match(l.to, l.from) {
			fn(l)
		}
	}
}

// silence makes the standing links between two addresses swallow all bytes; new links work.
func (f *fabric) silence(a, b string) {
	f.each(a, b, func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silent = true
	})
}

// cut closes the standing links of an address.
func (f *fabric) cut(a string) {
	var cut []*link
	f.each(a, "", func(l *link) { cut = append(cut, l) })
	for _, l := range cut {
		l.close()
	}
}

// part silences standing links and holds back new ones between two addresses until heal.
func (f *fabric) part(a, b string) {
	f.mu.Lock()
	f.blocked[[2]string{a, b}], f.blocked[[2]string{b, a}] = true, true
	f.mu.Unlock()
	f.silence(a, b)
}

func (f *fabric) heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blocked, [2]string{a, b})
	delete(f.blocked, [2]string{b, a})
}
