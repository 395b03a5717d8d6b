package conns

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an instance; while idle, it may be reused before reuseDeadline.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	reuseDeadline time.Time
}

// readBufferBytes is large enough for one event of a stream; longer bodies are read in several pieces.
const readBufferBytes = 4 << 10

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// isIdle reports whether the connection is open and no bytes have arrived since the last response.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
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

// close closes the connection; errors are ignored, as it may be closed already.
func (c *conn) close() {
	_ = c.Conn.Close()
}
