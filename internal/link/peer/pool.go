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

// dialTimeout bounds dialing plus the handshake.
const dialTimeout = 1500 * time.Millisecond

// Dialer opens a transport to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP dials over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: 10 * time.Second}
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps at most one connection per address and dials on demand.
type Pool struct {
	dial  Dialer
	mux   *Mux
	hello func() Hello
	// dialGroup lets concurrent callers for an address share one dial and its error.
	dialGroup singleflight.Group
	// dials counts the dials in progress; canceling ctx aborts them.
	dials  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	conns  map[string]*Conn
	closed bool
}

// NewPool returns a pool and the function that closes it with its connections.
func NewPool(dial Dialer, mux *Mux, hello func() Hello) (*Pool, func()) {
	p := &Pool{dial: dial, mux: mux, hello: hello, conns: map[string]*Conn{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, p.close
}

// Get returns the open connection to an address and dials if there is none. Its error is a *ConnError.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.liveConn(address); conn != nil {
		return conn, nil
	}
	ch := p.dialGroup.DoChan(address, func() (any, error) {
		if conn := p.liveConn(address); conn != nil {
			return conn, nil
		}
		if !p.beginDial() {
			return nil, net.ErrClosed
		}
		defer p.dials.Done()
		return p.connect(address)
	})
	select {
	case res := <-ch:
		if res.Err != nil {
			return nil, &ConnError{Address: address, Err: res.Err}
		}
		return res.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, &ConnError{Address: address, Err: ctx.Err()}
	}
}

// beginDial registers a dial in progress. It returns false if the pool is closed.
func (p *Pool) beginDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.dials.Add(1)
	}
	return !p.closed
}

// liveConn returns the open connection to an address, or nil if there is none.
func (p *Pool) liveConn(address string) *Conn {
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

// Disconnect closes a connection that the caller found unresponsive.
func (p *Pool) Disconnect(c *Conn) {
	c.disconnect()
}

// connect dials an address, performs the handshake and adds the connection to the pool.
func (p *Pool) connect(address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := newConn(context.Background(), raw, address, p.mux, nil)
	var remote Hello
	if err := conn.Call(ctx, methodHello, p.hello(), &remote); err != nil {
		conn.close()
		return nil, fmt.Errorf("greeting: %w", err)
	}
	conn.remote.Store(&remote)
	if !p.add(address, conn) {
		conn.close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// add stores the connection. It returns false if the pool is closed.
func (p *Pool) add(address string, conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[address] = conn
	}
	return !p.closed
}

// Conns returns the pool's connections, including those that have ended and were not yet replaced.
func (p *Pool) Conns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.conns))
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.dials.Wait()
	for _, c := range p.Conns() {
		c.close()
	}
}
