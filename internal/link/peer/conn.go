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

	"foxtailcroft/internal/base/tasks"
)

const (
	// maxSilence is how long a connection with active work may receive nothing before it is probed.
	maxSilence = time.Second
	// probeTimeout is how long a probe may go unanswered before the connection is closed as dead.
	probeTimeout = 1500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 3 * time.Second
)

const methodPing = "Ping"

// ConnError reports a message that failed because the connection ended or could not be established.
type ConnError struct {
	Address string
	// Sent is false only if no part of the message can have reached the peer.
	Sent bool
	Err  error
}

// Error returns the address, whether the message may have been sent, and the cause.
func (l *ConnError) Error() string {
	return fmt.Sprintf("connection to %s lost (sent: %t): %v", l.Address, l.Sent, l.Err)
}

// Unwrap returns the cause.
func (l *ConnError) Unwrap() error {
	return l.Err
}

// Conn is a connection between two processes. Both ends can send calls, notifications and stream messages.
type Conn struct {
	remote     atomic.Pointer[Hello]
	address    string
	mux        *Mux
	rpc        *jsonrpc2.Conn
	transport  *monitoredConn
	frames     *frameStream
	group      tasks.Group
	activeWork atomic.Int64
}

// Hello is the handshake message that both ends exchange.
type Hello struct {
	Node string
	// Epoch distinguishes the process from earlier processes with the same node name.
	Epoch int64
}

// monitoredConn records the time of the last read, counts the bytes written and sets a deadline on each write.
type monitoredConn struct {
	net.Conn
	lastRead  atomic.Int64
	bytesSent atomic.Int64
}

func (t *monitoredConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (t *monitoredConn) Write(p []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	t.bytesSent.Add(int64(len(p)))
	n, err := t.Conn.Write(p)
	if err != nil {
		// After a partial frame the peer can no longer find frame boundaries, so the connection is closed.
		return n, errors.Join(err, t.Close())
	}
	return n, nil
}

var discardLogger = log.New(io.Discard, "", 0)

// newConn returns a Conn on an open transport and starts its reader and heartbeat. The messages of one that was
// accepted count as unfinished, which is nil for others, until they have been read.
func newConn(ctx context.Context, raw net.Conn, address string, mux *Mux, accepted *unfinished) *Conn {
	transport := &monitoredConn{Conn: raw}
	transport.lastRead.Store(time.Now().UnixNano())
	c := &Conn{address: address, mux: mux, transport: transport}
	c.remote.Store(&Hello{})
	ready := make(chan struct{})
	c.frames = newFrameStream(transport, func(kind byte, data []byte) {
		<-ready
		c.dispatchStream(kind, data)
	})
	if accepted != nil {
		c.frames.bound = c.maxMessageBytes
		// The only possible error is that the connection is already closed.
		c.frames.take = func(n int) func() { return accepted.take(n, func() { _ = transport.Close() }) }
	}
	c.rpc = jsonrpc2.NewConn(ctx, c.frames, readyHandler{c, ready}, jsonrpc2.SetLogger(discardLogger))
	close(ready)
	c.group.Go(c.heartbeat)
	return c
}

// readyHandler answers pings and passes all other messages to conn. It blocks until ready is closed,
// that is, until the fields of conn are set.
type readyHandler struct {
	conn  *Conn
	ready chan struct{}
}

func (g readyHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-g.ready
	if req.Method == methodPing && !req.Notif {
		// If the connection has ended, the reader detects it.
		_ = rpc.Reply(ctx, req.ID, struct{}{})
		return
	}
	g.conn.Handle(ctx, rpc, req)
}

// maxMessageBytes returns the bound on the next message: a low one until the peer has named itself.
func (c *Conn) maxMessageBytes() int {
	if c.RemoteHello() == (Hello{}) {
		return maxGreetingBytes
	}
	return MaxFrameBytes
}

// RemoteHello returns the peer's handshake message; it is zero until the handshake is done.
func (c *Conn) RemoteHello() Hello {
	return *c.remote.Load()
}

// BeginWork marks the connection as having active work, which enables the heartbeat, until the returned function is called.
func (c *Conn) BeginWork() func() {
	c.activeWork.Add(1)
	return func() { c.activeWork.Add(-1) }
}

// heartbeat probes the connection when it has active work and is silent, and closes it if a probe fails.
func (c *Conn) heartbeat() {
	tick := time.NewTicker(maxSilence / 2)
	defer tick.Stop()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case <-tick.C:
		}
		silent := time.Since(time.Unix(0, c.transport.lastRead.Load()))
		if c.activeWork.Load() == 0 || silent < maxSilence {
			continue
		}
		if c.probe() != nil {
			c.disconnect()
			return
		}
	}
}

// probe sends a ping and waits up to probeTimeout for the reply.
func (c *Conn) probe() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return c.rpc.Call(ctx, methodPing, struct{}{}, nil)
}

// Call sends a request and waits for its reply until the context ends. For long waits the caller
// should also hold BeginWork, so that the heartbeat detects a dead peer.
func (c *Conn) Call(ctx context.Context, method string, params, reply any) error {
	err := c.rpc.Call(ctx, method, params, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return decodeError(remote)
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return &ConnError{Address: c.address, Sent: true, Err: err}
}

// Notify sends a notification, which has no reply.
func (c *Conn) Notify(method string, params any) error {
	if err := c.rpc.Notify(context.Background(), method, params); err != nil {
		return &ConnError{Address: c.address, Sent: true, Err: err}
	}
	return nil
}

// SendStream sends a stream message. Its order relative to notifications is preserved.
func (c *Conn) SendStream(kind byte, message any) error {
	if err := c.frames.writeStream(kind, message); err != nil {
		return &ConnError{Address: c.address, Sent: true, Err: err}
	}
	return nil
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Address returns the address that was dialed, or the remote address of an accepted connection.
func (c *Conn) Address() string {
	return c.address
}

// BytesSent returns the number of bytes written to the connection so far.
func (c *Conn) BytesSent() int64 {
	return c.transport.bytesSent.Load()
}

// disconnect closes the connection without waiting for its handlers.
func (c *Conn) disconnect() {
	// The only possible error is that the connection is already closed.
	_ = c.rpc.Close()
}

// close closes the connection and waits for its handlers.
func (c *Conn) close() {
	c.disconnect()
	c.group.Close()
}
