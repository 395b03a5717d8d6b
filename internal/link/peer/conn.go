package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"foxtailcroft/internal/base/crew"
)

const (
	// probeAfter is how long a connection with work on it may be silent before it is probed.
	probeAfter = time.Second
	// probeTimeout is how long a probe may go unanswered before the connection counts as dead.
	probeTimeout = 1500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 3 * time.Second
)

const methodPing = "Ping"

// Lost reports a call whose connection ended or never stood.
type Lost struct {
	Address string
	// Sent is false only if nothing of the message can have reached the other end.
	Sent bool
	Err  error
}

// Error names the address and the cause.
func (l *Lost) Error() string {
	return fmt.Sprintf("connection to %s lost (sent: %t): %v", l.Address, l.Sent, l.Err)
}

// Unwrap returns the cause.
func (l *Lost) Unwrap() error {
	return l.Err
}

// Conn is one connection between two processes; calls and notifications go both ways.
type Conn struct {
	remote  atomic.Pointer[Hello]
	address string
	mux     *Mux
	rpc     *jsonrpc2.Conn
	pipe    *timedConn
	frames  *frames
	group   crew.Group
	work    atomic.Int64
}

// Hello is the greeting that both ends exchange.
type Hello struct {
	Node string
	// Epoch tells the process from others that had the node's name.
	Epoch int64
}

// timedConn notes when bytes last arrived and bounds each write.
type timedConn struct {
	net.Conn
	lastRead atomic.Int64
	bytes    atomic.Int64
}

func (t *timedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (t *timedConn) Write(p []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	t.bytes.Add(int64(len(p)))
	n, err := t.Conn.Write(p)
	if err != nil {
		// A frame written in part cannot be taken back.
		return n, errors.Join(err, t.Close())
	}
	return n, nil
}

var quiet = log.New(io.Discard, "", 0)

// newConn starts a connection's reader and heartbeat.
func newConn(ctx context.Context, raw net.Conn, address string, mux *Mux) *Conn {
	pipe := &timedConn{Conn: raw}
	pipe.lastRead.Store(time.Now().UnixNano())
	c := &Conn{address: address, mux: mux, pipe: pipe}
	c.remote.Store(&Hello{})
	ready := make(chan struct{})
	c.frames = newFrames(pipe, func(kind byte, data []byte) {
		<-ready
		c.stream(kind, data)
	})
	c.rpc = jsonrpc2.NewConn(ctx, c.frames, gate{c, ready}, jsonrpc2.SetLogger(quiet))
	close(ready)
	c.group.Go(c.heartbeat)
	return c
}

// gate holds the first message back until the connection's fields are set.
type gate struct {
	conn  *Conn
	ready chan struct{}
}

func (g gate) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-g.ready
	if req.Method == methodPing && !req.Notif {
		// The connection's end is seen by its reader.
		_ = rpc.Reply(ctx, req.ID, struct{}{})
		return
	}
	g.conn.Handle(ctx, rpc, req)
}

// Remote returns the name and epoch that the other end gave in its greeting.
func (c *Conn) Remote() Hello {
	return *c.remote.Load()
}

// Begin marks the connection as having work on it until the returned function is called.
func (c *Conn) Begin() func() {
	c.work.Add(1)
	return func() { c.work.Add(-1) }
}

// heartbeat probes the connection while it has work and closes it when a probe goes unanswered.
func (c *Conn) heartbeat() {
	tick := time.NewTicker(probeAfter / 2)
	defer tick.Stop()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case <-tick.C:
		}
		silent := time.Since(time.Unix(0, c.pipe.lastRead.Load()))
		if c.work.Load() == 0 || silent < probeAfter {
			continue
		}
		if c.probe() != nil {
			c.shut()
			return
		}
	}
}

// probe sends one ping and waits for any answer.
func (c *Conn) probe() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return c.rpc.Call(ctx, methodPing, struct{}{}, nil)
}

// Call sends a request and waits for its reply. The context bounds the wait;
// who waits long for something that may not come holds Begin meanwhile.
func (c *Conn) Call(ctx context.Context, method string, params, reply any) error {
	err := c.rpc.Call(ctx, method, params, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return fromWire(remote)
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return &Lost{Address: c.address, Sent: true, Err: err}
}

// Notify sends a message that has no reply.
func (c *Conn) Notify(method string, params any) error {
	if err := c.rpc.Notify(context.Background(), method, params); err != nil {
		return &Lost{Address: c.address, Sent: true, Err: err}
	}
	return nil
}

// Stream sends a stream message, in order with the notifications before and after it.
func (c *Conn) Stream(kind byte, message any) error {
	if err := c.frames.writeStream(kind, message); err != nil {
		return &Lost{Address: c.address, Sent: true, Err: err}
	}
	return nil
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Address returns the address that was dialed, or the remote address of an accepted connection.
func (c *Conn) Address() string {
	return c.address
}

// BytesSent returns the bytes written so far.
func (c *Conn) BytesSent() int64 {
	return c.pipe.bytes.Load()
}

// shut ends the connection.
func (c *Conn) shut() {
	// A second close of a connection reports that it is closed.
	_ = c.rpc.Close()
}

// close ends the connection and waits for its handlers.
func (c *Conn) close() {
	c.shut()
	c.group.Close()
}
