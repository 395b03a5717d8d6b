package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tasks"
)

// Server accepts connections from other processes.
type Server struct {
	mux   *Mux
	hello func() Hello
	lis   net.Listener
	mu    sync.Mutex
	// conns are the connections that have not ended, and when they were accepted.
	conns map[*Conn]time.Time
	// maxUnknown bounds the connections without a handshake; 0 doesn't.
	maxUnknown int
	unfinished unfinished
	group      tasks.Group
}

// NewServer returns a server for the listener and the function that stops it and closes its connections.
func NewServer(lis net.Listener, mux *Mux, hello func() Hello) (*Server, func()) {
	s := &Server{mux: mux, hello: hello, lis: lis, conns: map[*Conn]time.Time{}, unfinished: unfinished{limit: defaultMaxUnfinished}}
	OnCall(mux, methodHello, func(_ context.Context, c *Conn, h Hello) (Hello, error) {
		c.remote.Store(&h)
		return s.hello(), nil
	})
	return s, s.close
}

// acceptRetryDelay is the pause after a connection could not be accepted, for want of descriptors or
// because its other end had gone.
const acceptRetryDelay = 20 * time.Millisecond

// SetMaxUnknown bounds the connections whose other end has not named itself in a handshake: the
// oldest one is closed for a new one. It must be called before Serve.
func (s *Server) SetMaxUnknown(n int) {
	s.maxUnknown = n
}

// SetMaxUnfinished bounds the bytes of messages that have arrived in part. It must be called before Serve.
func (s *Server) SetMaxUnfinished(bytes int) {
	s.unfinished.limit = bytes
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context) error {
	for {
		raw, err := s.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var temporary *net.OpError
		if errors.As(err, &temporary) && sleep.For(ctx, acceptRetryDelay) {
			continue
		}
		if err != nil {
			return err
		}
		s.closeOldestUnknown()
		c := newConn(context.WithoutCancel(ctx), raw, raw.RemoteAddr().String(), s.mux, &s.unfinished)
		s.mu.Lock()
		s.conns[c] = time.Now()
		s.mu.Unlock()
		if !s.group.Go(func() { s.removeWhenDone(c) }) {
			c.disconnect()
		}
	}
}

// closeOldestUnknown closes the oldest connection without a handshake if there are too many.
func (s *Server) closeOldestUnknown() {
	s.mu.Lock()
	var oldest *Conn
	unknown := 0
	for c, since := range s.conns {
		if c.RemoteHello() != (Hello{}) {
			continue
		}
		unknown++
		if oldest == nil || since.Before(s.conns[oldest]) {
			oldest = c
		}
	}
	if unknown < s.maxUnknown || s.maxUnknown == 0 {
		s.mu.Unlock()
		return
	}
	delete(s.conns, oldest)
	s.mu.Unlock()
	oldest.disconnect()
}

// removeWhenDone waits until a connection has ended and removes it.
func (s *Server) removeWhenDone(c *Conn) {
	<-c.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Conns returns the accepted connections that have not ended.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

func (s *Server) close() {
	// The only expected error is that the listener is already closed.
	_ = s.lis.Close()
	for _, c := range s.Conns() {
		c.close()
	}
	s.group.Close()
}
