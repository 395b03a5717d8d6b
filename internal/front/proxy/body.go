package proxy

import (
	"errors"
	"net/http"
	"os"
	"time"

	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/base/serve"
	"foxtailcroft/internal/core/site"
)

// shedRetryAfter is the Retry-After time of requests refused for want of memory: stalled bodies give
// way after a second.
const shedRetryAfter = time.Second

// readBody reads the request's body; false if the request ended because the body is incomplete, too
// large or too slow, or because memory is short.
func (c *call) readBody(limits site.Limits) bool {
	err := c.body.Read(c.server.memory, c.w, c.r, intake.Rules{
		MaxBytes: max(limits.BodyBytes, 1), IdleTimeout: max(limits.IdleTimeout, intake.DefaultIdleTimeout), Deadline: c.deadline,
	})
	if err := c.body.DeadlineError(); err != nil {
		c.server.log.Warnw("setting the read deadline failed; the body was read without it", "Request", c.request.ID, "Error", err.Error())
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, memory.ErrShort):
		c.refuse(http.StatusServiceUnavailable, err.Error(), shedRetryAfter)
	case errors.Is(err, intake.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, intake.ErrTooSlow):
		c.refuse(http.StatusRequestTimeout, "body not complete in time", defaultRetryAfter)
	default:
		c.outcome, c.reason = "caller left", "body not read: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	return false
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
	c.body.Close()
	c.answerMemory.Close()
}

// Bodies returns the unfinished bodies, which may be ended to make room for connections.
func (s *Server) Bodies() serve.Bodies {
	return s.memory
}

// HeldMemory returns the memory that bodies and answers hold.
func (s *Server) HeldMemory() int64 {
	return s.memory.Held()
}
