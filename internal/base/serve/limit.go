package serve

import (
	"net"
	"time"
)

// Limit bounds the open connections of a server.
type Limit struct {
	// Connections is the number of open connections; 0 is not bounded.
	Connections int
	// HeaderBytes is what all connections together may have sent of headers that are not whole; 0 is not
	// bounded. Beyond it, the connection that has sent most is closed.
	HeaderBytes int64
	// EndSlow ends the connection of an unfinished request that has stalled or is slow, and reports whether
	// there was one; nil ends none.
	EndSlow func() bool
}

// endingDivisor is the share of connections that may be open beyond the limit while such requests end.
const endingDivisor = 8

// SetLimit bounds the open connections. For a connection beyond the limit, the one that has been idle
// for the longest is closed, or else the one that has been without a whole header for the longest, or
// else a stalled or slow request is ended. If there is none of them, the new connection is closed.
func (s *Server) SetLimit(l Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
}

// admit counts a new connection and makes room for it; false if it must be closed.
func (s *Server) admit(c *serverConn) bool {
	victim, ok := s.tryAdmit(c)
	if !ok && victim == nil && s.limit.EndSlow != nil && s.limit.EndSlow() {
		ok = s.admitBeyond(c)
	}
	if victim != nil {
		// Its caller expects that idle connections may be closed, or has sent no whole request.
		_ = victim.Close()
	}
	return ok || victim != nil
}

// tryAdmit counts a new connection; beyond the limit only if there is one to close for it.
func (s *Server) tryAdmit(c *serverConn) (victim net.Conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Connections > 0 && s.open >= s.limit.Connections {
		if victim = s.longest(); victim == nil {
			return nil, false
		}
		delete(s.idleSince, victim)
		delete(s.headerSince, victim)
	}
	s.countOpen(c)
	return victim, true
}

// admitBeyond counts a new connection in place of one that ends, and reports whether it did.
func (s *Server) admitBeyond(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limit.Connections+max(1, s.limit.Connections/endingDivisor) {
		return false
	}
	s.countOpen(c)
	return true
}

// countOpen counts a new connection; the caller holds the lock.
func (s *Server) countOpen(c *serverConn) {
	s.open++
	c.counted = true
	s.headerSince[c] = time.Now()
}

// Read reads from the connection, and counts what is read of a header.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Load() {
		if largest := c.server.countHeader(c, n); largest != nil {
			// It has sent no whole request.
			_ = largest.Close()
		}
	}
	return n, err
}

// countHeader counts bytes of a header, and returns the connection to close if there are too many.
func (s *Server) countHeader(c *serverConn, n int) (largest *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.inRequest || c.closed {
		return nil
	}
	c.headerBytes += int64(n)
	s.headerBytes += int64(n)
	if s.limit.HeaderBytes == 0 || s.headerBytes <= s.limit.HeaderBytes {
		return nil
	}
	largest = c
	for conn := range s.headerSince {
		if o, ok := conn.(*serverConn); ok && o.headerBytes > largest.headerBytes {
			largest = o
		}
	}
	return largest
}

// endHeader counts a header as whole or lost; the caller holds the lock.
func (s *Server) endHeader(c *serverConn) {
	s.headerBytes -= c.headerBytes
	c.headerBytes = 0
}

// longest returns the connection that was idle for the longest, or else the one that was without a
// whole header for the longest; nil if there is none. The caller holds the lock.
func (s *Server) longest() net.Conn {
	for _, since := range []map[net.Conn]time.Time{s.idleSince, s.headerSince} {
		var longest net.Conn
		for conn, t := range since {
			if longest == nil || t.Before(since[longest]) {
				longest = conn
			}
		}
		if longest != nil {
			return longest
		}
	}
	return nil
}
