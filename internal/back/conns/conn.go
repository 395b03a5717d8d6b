package conns

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an instance.
type conn struct {
	net.Conn
	in    *bufio.Reader
	until time.Time
}

// readBuffer fits the events of a stream; bodies pass through it in pieces.
const readBuffer = 4 << 10

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, in: bufio.NewReaderSize(raw, readBuffer)}
}

// quiet reports whether the connection is open and nothing has arrived on it since the last answer.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// close ends the connection; a connection that is closed already has nothing left to end.
func (c *conn) close() {
	_ = c.Conn.Close()
}
