package conns

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailcroft/internal/link/heads"
)

// conn is one connection to an instance; while idle, it may be reused before reuseDeadline.
type conn struct {
	net.Conn
	id ConnID
	// isProven is true once the process at the other end has named the start of the instance that the connection is for.
	isProven      bool
	reader        *bufio.Reader
	head          *headReader
	reuseDeadline time.Time
	// target is that of an idle connection, and place its place among all idle ones.
	target Target
	place  *list.Element
	// open counts the open connections of the pool; nil outside of one.
	open   *atomic.Int64
	closed atomic.Bool
}

// maxHeadBytes bounds the head of a response, as a faulty server may send one without end.
const maxHeadBytes = heads.MaxHeadBytes

// errHeadTooLong reports a response head over maxHeadBytes.
var errHeadTooLong = errors.New("response head is too long")

// headReader reads from a connection, judges what arrives, and bounds what is read while a head is expected.
type headReader struct {
	io.Reader
	judge heads.Judge
	// left is the number of bytes that may still be read, negative if there is no bound.
	left int
}

// Read reads up to the bound, and no bytes that break HTTP/1.1's grammar.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeadTooLong
	}
	if h.left > 0 {
		p = p[:min(len(p), h.left)]
	}
	n, err := h.Reader.Read(p)
	if h.left > 0 {
		h.left -= n
	}
	n, judged := h.judge.Judge(p[:n])
	if judged != nil {
		err = judged
	}
	return n, err
}

// readBufferBytes is large enough for one event of a stream; longer bodies are read in several pieces.
const readBufferBytes = 4 << 10

func newConn(raw net.Conn, id ConnID) *conn {
	head := &headReader{Reader: raw, left: -1}
	return &conn{Conn: raw, id: id, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
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

// hasNoMore reports whether nothing has arrived after a response that was read to its end.
func (c *conn) hasNoMore() bool {
	return c.reader.Buffered() == 0 && c.head.judge.IsBetween()
}

// close closes the connection; errors are ignored, as it may be closed already.
func (c *conn) close() {
	if c.open != nil && !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	_ = c.Conn.Close()
}
