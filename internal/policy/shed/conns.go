package shed

import "time"

// HeaderGrace is how long a connection may be without a whole header before it is closed ahead of
// unfinished bodies. It covers a header that is retransmitted, and one that has arrived and waits for
// its goroutine to run: while 2,000 connections open, that takes some hundred milliseconds.
const HeaderGrace = time.Second

// Connections tells which connections may be closed for a new one at the bound on connections.
// Requests whose whole body has been received are not among them.
type Connections struct {
	// Idle is true if a connection is idle.
	Idle bool
	// NoHeader is true if a connection has no whole header, and NoHeaderFor the longest time for which one has none.
	NoHeader    bool
	NoHeaderFor time.Duration
	// SlowBody is true if an unfinished body has stalled or is slow, Body if there is any.
	SlowBody, Body bool
	// Ending is true if connections of bodies that were ended have not closed yet, and EndingFull if no
	// further body should be ended before that.
	Ending, EndingFull bool
}

// Action makes room for a new connection.
type Action int

const (
	// CloseNew closes the new connection itself.
	CloseNew Action = iota
	// CloseIdle closes the connection that has been idle for the longest.
	CloseIdle
	// CloseNoHeader closes the connection that has been without a whole header for the longest.
	CloseNoHeader
	// EndSlowBody ends the body that has stalled or been slow for the longest.
	EndSlowBody
	// EndOldestBody ends the body whose reading began first, of the caller with the most unfinished bodies.
	EndOldestBody
	// AwaitEnding waits for the connection of a body that was ended to close.
	AwaitEnding
)

// ForConnection returns how to make room for a new connection.
func ForConnection(c Connections) Action {
	switch {
	case c.Idle:
		return CloseIdle
	case c.NoHeader && c.NoHeaderFor > HeaderGrace:
		return CloseNoHeader
	case c.EndingFull:
		return AwaitEnding
	case c.SlowBody:
		return EndSlowBody
	case c.Body:
		return EndOldestBody
	case c.Ending:
		return AwaitEnding
	case c.NoHeader:
		return CloseNoHeader
	}
	return CloseNew
}
