package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"foxtailcroft/internal/base/tasks"
)

// Server accepts connections from other processes.
type Server struct {
	mux   *Mux
	hello func() Hello
	lis   net.Listener
	mu    sync.Mutex
	conns map[*Conn]struct{}
	group tasks.Group
}

// NewServer returns a server for the listener and the function that stops it and closes its connections.
func NewServer(lis net.Listener, mux *Mux, hello func() Hello) (*Server, func()) {
	s := &Server{mux: mux, hello: hello, lis: lis, conns: map[*Conn]struct{}{}}
	OnCall(mux, methodHello, func(_ context.Context, c *Conn, h Hello) (Hello, error) {
		c.remote.Store(&h)
		return s.hello(), nil
	})
	return s, s.close
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context) error {
	for {
		raw, err := s.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		c := newConn(context.WithoutCancel(ctx), raw, raw.RemoteAddr().String(), s.mux)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		if !s.group.Go(func() { s.removeWhenDone(c) }) {
			c.disconnect()
		}
	}
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
