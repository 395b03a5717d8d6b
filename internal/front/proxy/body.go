package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/shed"
)

const (
	// firstBlockBytes is the size of the first block of a body or answer, enough for most; each further
	// one is blockGrowth times as large, up to maxBlockBytes. Blocks are never larger than what is
	// announced, so that a connection that stops early holds little.
	firstBlockBytes = 4 << 10
	blockGrowth     = 4
	maxBlockBytes   = 64 << 10
	// defaultIdleTimeout is how long a body may stay without bytes if the document has no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleMargin is added to the idle timeout of bodies, and is the time between two settings of the
	// read deadline.
	idleMargin = time.Second
	// shedRetryAfter is the Retry-After time of requests refused for want of memory: stalled bodies
	// give way after a second.
	shedRetryAfter = time.Second
)

var (
	// errBodyTooLarge reports a body over the document's limit.
	errBodyTooLarge = errors.New("body too large")
	// errBodyTooSlow reports a body below the least rate.
	errBodyTooSlow = errors.New("body too slow")
	// errBodyEnded reports a body that was ended to make room for others.
	errBodyEnded = errors.New("memory for requests is short")
)

// callerAddress returns the address of the caller, without a port.
func (c *call) callerAddress() string {
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		return host
	}
	return c.r.RemoteAddr
}

// readBody reads the request's body; false if the request ended because the body is incomplete, too
// large or too slow, or because memory is short.
func (c *call) readBody(limits site.Limits) bool {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return true
	}
	maxBytes := max(limits.BodyBytes, 1)
	if c.r.ContentLength > maxBytes {
		c.refuseBody(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error(), 0)
		return false
	}
	c.server.memory.OpenBody(&c.bodyMemory, c.callerAddress(), c)
	err := c.readBlocks(maxBytes, max(limits.IdleTimeout, defaultIdleTimeout)+idleMargin)
	if !c.bodyMemory.Finish() {
		err = errBodyEnded
	}
	switch {
	case err == nil:
		c.setReadDeadline(time.Time{})
		return true
	case errors.Is(err, errBodyEnded):
		c.refuseBody(http.StatusServiceUnavailable, err.Error(), shedRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		c.refuseBody(http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errBodyTooSlow):
		c.refuseBody(http.StatusRequestTimeout, "body not complete in time", defaultRetryAfter)
	default:
		c.outcome, c.reason = "caller left", "body not read: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	return false
}

// refuseBody refuses a request whose body is not read to its end, and gives back its memory. The
// connection is closed, as the rest of the body may follow.
func (c *call) refuseBody(status int, reason string, retryAfter time.Duration) {
	c.body, c.moreBody = nil, nil
	c.bodyMemory.Close()
	c.w.Header().Set("Connection", "close")
	c.refuse(status, reason, retryAfter)
}

// readBlocks reads the body into blocks whose memory is charged before they are read.
func (c *call) readBlocks(maxBytes int64, idle time.Duration) error {
	left := maxBytes
	if c.r.ContentLength > 0 {
		left = c.r.ContentLength
	}
	size := int64(firstBlockBytes)
	armed := time.Time{}
	for left > 0 {
		block := min(size, left)
		if c.bodyMemory.Grow(block) != nil {
			return errBodyEnded
		}
		data, err := c.fillBlock(make([]byte, 0, block), &armed, idle)
		c.addBlock(data)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		left -= block
		size = min(size*blockGrowth, maxBlockBytes)
	}
	return c.expectEnd(&armed, idle)
}

// addBlock appends a block to the body.
func (c *call) addBlock(data []byte) {
	if c.body == nil {
		c.body = data
		return
	}
	c.moreBody = append(c.moreBody, data)
}

// fillBlock reads the body until a block is full; the error is io.EOF at the body's end.
func (c *call) fillBlock(block []byte, armed *time.Time, idle time.Duration) ([]byte, error) {
	for len(block) < cap(block) {
		if err := c.armRead(armed, idle); err != nil {
			return block, err
		}
		n, err := c.r.Body.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		c.bodyMemory.Progress(n)
		if err != nil {
			return block, err
		}
	}
	return block, nil
}

// expectEnd returns nil if the body has no more bytes.
func (c *call) expectEnd(armed *time.Time, idle time.Duration) error {
	for {
		if err := c.armRead(armed, idle); err != nil {
			return err
		}
		var next [1]byte
		switch n, err := c.r.Body.Read(next[:]); {
		case n > 0:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// armRead sets the read deadline at most once in idleMargin, and returns an error if the body must
// not be read on.
func (c *call) armRead(armed *time.Time, idle time.Duration) error {
	now := time.Now()
	if now.Sub(*armed) < idleMargin {
		return nil
	}
	*armed = now
	if shed.IsTooSlow(c.bodyMemory.Received(), c.bodyMemory.Elapsed(), idle) {
		return errBodyTooSlow
	}
	deadline := now.Add(idle)
	if c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	c.setReadDeadline(deadline)
	// EndReading may have set its deadline just before.
	if c.bodyMemory.Ended() {
		return errBodyEnded
	}
	return nil
}

// EndReading makes the current read of the body fail.
func (c *call) EndReading() {
	c.setReadDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the deadline for reading the body; a zero time removes it.
func (c *call) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.server.log.Warnw("setting the read deadline failed; reading the body without it", "Request", c.request.ID, "Error", err.Error())
	}
}

// writeGrace is how long past the request's deadline its answer may still be written to a slow caller.
const writeGrace = 5 * time.Second

// setWriteDeadline sets when writing the answer fails if the caller does not take it.
func (c *call) setWriteDeadline(t time.Time) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(t.Add(writeGrace)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.server.log.Warnw("setting the write deadline failed; writing the answer without it", "Request", c.request.ID, "Error", err.Error())
	}
}

// releaseMemory gives back what the request holds of the budget.
func (c *call) releaseMemory() {
	c.bodyMemory.Close()
	c.answerMemory.Close()
}

// EndStalledBody ends an unfinished body that has stalled, to make room for other connections, and
// reports whether there was one.
func (s *Server) EndStalledBody() bool {
	return s.memory.EndStalled()
}

// HeldMemory returns the memory that bodies and answers hold.
func (s *Server) HeldMemory() int64 {
	return s.memory.Held()
}
