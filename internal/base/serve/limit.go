package serve

import (
	"container/list"
	"time"

	"foxtailcroft/internal/policy/shed"
)

// Limit bounds the open connections of a server.
type Limit struct {
	// Connections is the number of open connections; 0 is not bounded.
	Connections int
	// HeaderBytes is what all connections together may have sent of headers that are not whole; 0 is not
	// bounded. Beyond it, the connection that has sent most is closed.
	HeaderBytes int64
	// Bodies are the unfinished bodies of requests; nil if none of them may be ended.
	Bodies Bodies
}

// Bodies are the unfinished bodies of a server's requests. Ending one ends its request and closes its
// connection soon after. The methods must not block or call the server.
type Bodies interface {
	// Unfinished reports whether there is one, and whether one of them has stalled or is slow.
	Unfinished() (one, slow bool)
	// EndSlow ends the one that has stalled or been slow for the longest.
	EndSlow()
	// EndOldest ends the one whose reading began first, of the address with the most unfinished bodies.
	EndOldest()
}

const (
	// endingDivisor is the share of connections that may be open beyond the limit while bodies end.
	endingDivisor = 8
	// maxEndingWait bounds the wait for the connections of ended bodies to close, during which no
	// connection is accepted.
	maxEndingWait = time.Second
)

// SetLimit bounds the open connections. For a connection beyond the limit, another one is closed or an
// unfinished body is ended, in the order of shed.ForConnection. If there is none of them, the new
// connection is closed.
func (s *Server) SetLimit(l Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
}

// admit counts a new connection and makes room for it; false if it must be closed.
func (s *Server) admit(c *serverConn) bool {
	var timeout <-chan time.Time
	for waited := false; ; {
		victim, action := s.tryAdmit(c, waited)
		if victim != nil {
			// Its caller expects that idle connections may be closed, or has sent no whole request.
			_ = victim.Conn.Close()
		}
		if action != shed.AwaitEnding {
			return action != shed.CloseNew
		}
		if timeout == nil {
			timer := time.NewTimer(maxEndingWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-s.connClosed:
		case <-timeout:
			waited = true
		}
	}
}

// tryAdmit counts a new connection if there is room or if some can be made, and returns the connection
// to close for it, nil if there is none. The action is shed.AwaitEnding to try again once a connection
// has closed, and shed.CloseNew if there is no room.
func (s *Server) tryAdmit(c *serverConn, waited bool) (victim *serverConn, action shed.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Connections == 0 || s.open < s.limit.Connections {
		s.countOpen(c)
		return nil, shed.CloseIdle
	}
	switch action = shed.ForConnection(s.candidates(waited)); action {
	case shed.CloseIdle:
		victim = s.countFirstClosed(&s.idle)
	case shed.CloseNoHeader:
		victim = s.countFirstClosed(&s.noHeader)
	case shed.EndSlowBody:
		s.limit.Bodies.EndSlow()
	case shed.EndOldestBody:
		s.limit.Bodies.EndOldest()
	case shed.AwaitEnding, shed.CloseNew:
		return nil, action
	}
	s.countOpen(c)
	return victim, action
}

// candidates returns what may be closed for a new connection; no bodies after a wait in vain for
// those that were ended. The caller holds the lock.
func (s *Server) candidates(waited bool) shed.Connections {
	c := shed.Connections{Idle: s.idle.Len() > 0}
	if first := firstOf(&s.noHeader); first != nil {
		c.NoHeader, c.NoHeaderFor = true, time.Since(first.since)
	}
	if s.limit.Bodies != nil && !waited {
		c.Body, c.SlowBody = s.limit.Bodies.Unfinished()
		// Connections are beyond the limit only while others end for them.
		c.Ending, c.EndingFull = s.open > s.limit.Connections, s.open >= s.limit.Connections+max(1, s.limit.Connections/endingDivisor)
	}
	return c
}

// firstOf returns the first connection of a list, nil if there is none.
func firstOf(l *list.List) *serverConn {
	if l.Len() == 0 {
		return nil
	}
	c, _ := l.Front().Value.(*serverConn)
	return c
}

// countFirstClosed counts the first connection of a list as closed, so that it serves no request; the
// caller holds the lock and closes the connection after that.
func (s *Server) countFirstClosed(l *list.List) *serverConn {
	c := firstOf(l)
	if c != nil {
		s.countClosed(c)
	}
	return c
}

// countOpen counts a new connection; the caller holds the lock.
func (s *Server) countOpen(c *serverConn) {
	s.open++
	c.counted = true
	s.move(c, &s.noHeader)
}

// countClosed counts a connection as closed, if it has not been; the caller holds the lock.
func (s *Server) countClosed(c *serverConn) {
	c.closed = true
	s.move(c, nil)
	s.endHeader(c)
	if !c.counted {
		return
	}
	c.counted = false
	s.open--
	select {
	case s.connClosed <- struct{}{}:
	default:
	}
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
	for e := s.noHeader.Front(); e != nil; e = e.Next() {
		if o, ok := e.Value.(*serverConn); ok && o.headerBytes > largest.headerBytes {
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
