package resets

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sourcegraph/conc"
)

// UploadBytes is more than the buffers of a loopback connection hold, so that a client is still writing a
// request of this size when its server resets the connection.
const UploadBytes = 8 << 20

// receiveBufferBytes keeps the server's part of these buffers small.
const receiveBufferBytes = 4 << 10

// Serve answers each connection's first request with a text and resets the connection, and returns the
// address. If midway is true, it reads only the head of the request before, else all of it.
func Serve(t testing.TB, answer string, midway bool) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	t.Cleanup(func() {
		_ = lis.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			conn, err := lis.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				group.Go(func() { answerAndReset(tcp, answer, midway) })
			}
		}
	})
	return lis.Addr().String()
}

// answerAndReset serves one connection; errors are those of a client that has left.
func answerAndReset(conn *net.TCPConn, answer string, midway bool) {
	defer func() { _ = conn.Close() }()
	if midway {
		_ = conn.SetReadBuffer(receiveBufferBytes)
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !midway {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(conn, answer)
	_ = conn.SetLinger(0)
}
