package front

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// partition loses all bytes between one front on one side and the store and all other fronts on the other.
type partition struct {
	mu    sync.Mutex
	front string
}

// cut cuts a front off; an empty name ends this.
func (p *partition) cut(front string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.front = front
}

// dialFrom returns the function with which a front opens connections.
func (p *partition) dialFrom(front string, dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil || address != "store:1" && !strings.HasSuffix(address, ":3") {
			return c, err
		}
		return &partitionConn{Conn: c, partition: p, from: front, to: strings.TrimSuffix(address, ":3"), closed: make(chan struct{})}, nil
	}
}

// partitionConn is a connection that is silent from the first byte on that a partition has lost.
type partitionConn struct {
	net.Conn
	partition *partition
	from, to  string
	silent    atomic.Bool
	once      sync.Once
	closed    chan struct{}
}

func (c *partitionConn) loses() bool {
	c.partition.mu.Lock()
	defer c.partition.mu.Unlock()
	if f := c.partition.front; f != "" && (f == c.from || f == c.to) {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

func (c *partitionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.loses() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *partitionConn) Write(p []byte) (int, error) {
	if c.loses() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *partitionConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
