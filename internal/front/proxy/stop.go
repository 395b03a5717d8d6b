package proxy

import (
	"net/http"
	"time"
)

// SetStopTime sets when the requests in flight are ended because the process stops; those that
// would have to wait for a model until then are refused earlier.
func (s *Server) SetStopTime(t time.Time) {
	s.stopTime.Store(&t)
	time.AfterFunc(time.Until(t), s.endAll)
}

// RefuseLong makes the server refuse new requests that may not end before the stop time.
func (s *Server) RefuseLong() {
	s.refusesLong.Store(true)
}

// refuseIfTooLong refuses a request that came late in a stop and may not end before it is over,
// and reports whether it did.
func (c *call) refuseIfTooLong() bool {
	if stop := c.server.stopTime.Load(); stop == nil || !c.server.refusesLong.Load() || c.deadline.Before(*stop) {
		return false
	}
	c.refuse(http.StatusServiceUnavailable, "front is stopping", defaultRetryAfter)
	return true
}
