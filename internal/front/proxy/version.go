package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
)

// isTakeUp reports whether the caller takes up a stream that has begun before.
func (c *call) isTakeUp() bool {
	return c.route.Kind == site.Streaming && c.request.LastEventID != ""
}

// splitID returns the ID by which the request's service is chosen: a stream goes on at the service that began it.
func (c *call) splitID() string {
	if c.isTakeUp() && c.request.Resumes != "" {
		return c.request.Resumes
	}
	return c.request.ID
}

// findOrigin finds out which version began the stream that a caller takes up, if it does; false if the
// request has ended because the version is not known.
func (c *call) findOrigin(ctx context.Context) bool {
	if !c.isTakeUp() {
		return true
	}
	version, basis := c.server.origins.Origin(ctx, c.service, c.request.Resumes)
	if !basis.IsKnown() {
		if !c.endIfExpired(ctx) {
			c.refuse(http.StatusServiceUnavailable, "the version that began the stream is not known: "+string(basis), 0)
		}
		return false
	}
	c.bound, c.version = true, version
	return true
}

// bindStream binds a stream whose first event is about to be sent to the version of its instance, which
// is unknown if a restarted instance may have sent it; false if the event must not be sent.
func (c *call) bindStream(ctx context.Context, in site.Instance) bool {
	if c.bound || c.route.Kind != site.Streaming {
		return true
	}
	version := ""
	if c.hasAnnouncedVersion {
		version = in.Version
	}
	if c.route.Resumable && !c.server.origins.RecordBegin(ctx, c.service, c.request.ID, version) {
		return false
	}
	c.bound, c.version = true, version
	return true
}

// recordStreamComplete records that the caller has the stream in whole.
func (c *call) recordStreamComplete() {
	if !c.route.Resumable {
		return
	}
	id := c.request.ID
	if c.isTakeUp() {
		id = c.request.Resumes
	}
	c.server.origins.RecordEnd(c.service, id)
}

// needsVersion reports whether the version of the instance that answers decides where the stream may go on.
func (c *call) needsVersion() bool {
	return c.route.Kind == site.Streaming && (c.bound || c.route.Resumable)
}

// checkVersion decides how the version of the instance that answers becomes known: the connection proves it, or, where
// processes don't name their start, the view tells it unless another process may run by now. It reports whether
// the request may be sent to the instance.
func (c *call) checkVersion(in site.Instance) bool {
	c.provesStart = c.needsVersion() && c.server.tracker.namesStart(in.InstanceKey)
	c.hasAnnouncedVersion = !c.needsVersion() || c.provesStart || !c.server.mayHaveRestarted(in)
	if c.bound && !c.hasAnnouncedVersion {
		c.logAttempt("may have restarted", in, "not verified")
		return false
	}
	return true
}

// handleUnproven decides what follows an attempt for which nothing was sent, as no connection proved that the
// instance's process is the announced one; false if that is not why the attempt failed.
func (c *call) handleUnproven(in site.Instance, err error) bool {
	var replaced *conns.ReplacedError
	var startless *conns.StartlessError
	switch {
	case errors.As(err, &replaced):
		c.server.tracker.exclude(in.InstanceKey, replacedInstanceExclusion)
		c.server.identities.Suspect(in)
	case errors.As(err, &startless):
		c.server.tracker.recordStartless(in.InstanceKey)
		delete(c.tried, in.InstanceKey)
	default:
		return false
	}
	c.reason = err.Error()
	c.logAttempt("not proved to be the announced process", in, c.reason)
	return true
}

// serving returns the instances of the service that may serve the request by their versions.
func (c *call) serving() []site.Instance {
	list := c.state.Serving(c.service)
	if !c.bound {
		return list
	}
	return slices.DeleteFunc(list, func(in site.Instance) bool { return in.Version != c.version || in.Version == "" })
}

// withoutClosed leaves out the instances of versions at which no streams may begin, unless the stream has begun.
func (c *call) withoutClosed(list []site.Instance) []site.Instance {
	if c.bound || !c.route.Resumable || c.route.Kind != site.Streaming {
		return list
	}
	closed := c.server.origins.Closed(c.service)
	if len(closed) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool { return slices.Contains(closed, in.Version) })
}

// closedVersionPause is the pause before instances are looked for again of which some are of closed versions.
const closedVersionPause = 50 * time.Millisecond

// waitForVersion waits until streams may begin at further versions; false if the request has ended.
func (c *call) waitForVersion(ctx context.Context) bool {
	waitStart := time.Now()
	defer func() { c.waited += time.Since(waitStart) }()
	if time.Until(c.waitDeadline()) <= servingReserve {
		c.refuse(http.StatusServiceUnavailable, "no stream may begin yet at the version that serves", defaultRetryAfter)
		return false
	}
	sleep.For(ctx, closedVersionPause)
	clear(c.tried)
	return !c.endIfExpired(ctx)
}

// recordBreak records that a request to an instance broke off, so that it may have restarted.
func (t *instanceTracker) recordBreak(in site.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsOf(in.InstanceKey)
	s.brokenAt = max(s.brokenAt, in.Revision)
}

// startlessTime is how long an instance counts as one whose processes don't name their start.
const startlessTime = 10 * time.Second

// recordStartless records that an instance's process answered without its start.
func (t *instanceTracker) recordStartless(k site.InstanceKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statsOf(k).startlessUntil = time.Now().Add(startlessTime)
}

// namesStart reports whether an instance's processes may name their start, as its announcement did.
func (t *instanceTracker) namesStart(k site.InstanceKey) bool {
	if k.Born == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().After(t.statsOf(k).startlessUntil)
}

// mayHaveRestarted reports whether an instance that was chosen from an earlier view may have restarted since its
// newest announcement.
func (s *Server) mayHaveRestarted(in site.Instance) bool {
	if s.origins.IsViewOutdated() || s.stateSource.State().Instances[in.ID].InstanceKey != in.InstanceKey {
		return true
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	stats := s.tracker.statsOf(in.InstanceKey)
	return stats.brokenAt != 0 && stats.brokenAt >= in.Revision
}
