package peer

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

const methodHello = "Hello"

// dialTimeout bounds the connection and its greeting.
const dialTimeout = 1500 * time.Millisecond

// Dialer opens a transport to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// TCP dials over TCP.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: 10 * time.Second}
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps one connection to each address that is in use.
type Pool struct {
	dial  Dialer
	mux   *Mux
	hello func() Hello
	// opening lets concurrent callers share one dial and its failure.
	opening singleflight.Group
	// dials counts the dials under way, which end with ctx.
	dials  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	conns  map[string]*Conn
	done   bool
}

// NewPool returns a pool and the function that closes its connections.
func NewPool(dial Dialer, mux *Mux, hello func() Hello) (*Pool, func()) {
	p := &Pool{dial: dial, mux: mux, hello: hello, conns: map[string]*Conn{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, p.close
}

// Get returns the live connection to an address, dialing if there is none.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.live(address); conn != nil {
		return conn, nil
	}
	ch := p.opening.DoChan(address, func() (any, error) {
		if conn := p.live(address); conn != nil {
			return conn, nil
		}
		if !p.begin() {
			return nil, net.ErrClosed
		}
		defer p.dials.Done()
		return p.open(address)
	})
	select {
	case res := <-ch:
		if res.Err != nil {
			return nil, &Lost{Address: address, Err: res.Err}
		}
		return res.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, &Lost{Address: address, Err: ctx.Err()}
	}
}

// begin counts a dial unless the pool is closed.
func (p *Pool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.done {
		p.dials.Add(1)
	}
	return !p.done
}

// live returns the connection to an address unless it has ended.
func (p *Pool) live(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.Done():
		delete(p.conns, address)
		return nil
	default:
		return conn
	}
}

// Drop ends a connection that the caller found unresponsive.
func (p *Pool) Drop(c *Conn) {
	c.shut()
}

// open dials, greets and keeps the connection.
func (p *Pool) open(address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := newConn(context.Background(), raw, address, p.mux)
	var remote Hello
	if err := conn.Call(ctx, methodHello, p.hello(), &remote); err != nil {
		conn.close()
		return nil, fmt.Errorf("greeting: %w", err)
	}
	conn.remote.Store(&remote)
	if !p.keep(address, conn) {
		conn.close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// keep stores the connection unless the pool is closed.
func (p *Pool) keep(address string, conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.done {
		p.conns[address] = conn
	}
	return !p.done
}

// Conns returns the live connections.
func (p *Pool) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.conns))
}

func (p *Pool) close() {
	p.mu.Lock()
	p.done = true
	p.mu.Unlock()
	p.cancel()
	p.dials.Wait()
	for _, c := range p.Conns() {
		c.close()
	}
}
