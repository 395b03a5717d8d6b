package serve

import (
	"net"
	"time"
)

// Limit bounds the open connections of a server.
type Limit struct {
	// Connections is the number of open connections; 0 is not bounded.
	Connections int
	// EndStalled ends the connection of an unfinished request that has stalled, and reports whether
	// there was one; nil ends none.
	EndStalled func() bool
}

// endingDivisor is the share of connections that may be open beyond the limit while stalled requests end.
const endingDivisor = 8

// SetLimit bounds the open connections. For a connection beyond the limit, the one that has been idle
// for the longest is closed, or else the one that has been without a whole header for the longest, or
// else a stalled request is ended. If there is none of them, the new connection is closed.
func (s *Server) SetLimit(l Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
}

// admit counts a new connection and makes room for it; false if it must be closed.
func (s *Server) admit(c *serverConn) bool {
	victim, ok := s.tryAdmit(c)
	if !ok && victim == nil && s.limit.EndStalled != nil && s.limit.EndStalled() {
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
