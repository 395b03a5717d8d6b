package proxy

import (
	"context"
	"net/http"
	"slices"

	"foxtailcroft/internal/core/site"
)

// findOrigin finds out which version began the stream that a caller takes up, if it does; false if the
// request has ended because the version is not known.
func (c *call) findOrigin(ctx context.Context) bool {
	if c.route.Kind != site.Streaming || c.request.LastEventID == "" {
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

// bindStream binds a stream whose first event is about to be sent to the version of its instance.
func (c *call) bindStream(in site.Instance) {
	if c.bound || c.route.Kind != site.Streaming {
		return
	}
	c.bound, c.version = true, in.Version
	if c.route.Resumable {
		c.server.origins.RecordBegin(c.service, c.request.ID, in.Version)
	}
}

// serving returns the instances of the service that may serve the request by their versions.
func (c *call) serving() []site.Instance {
	list := c.state.Serving(c.service)
	if !c.bound {
		return list
	}
	return slices.DeleteFunc(list, func(in site.Instance) bool { return in.Version != c.version || in.Version == "" })
}

// preferSettled leaves out the instances of versions that other fronts may not know yet, unless there are
// no others or the stream has begun.
func (c *call) preferSettled(list []site.Instance) []site.Instance {
	if c.bound || !c.route.Resumable || c.route.Kind != site.Streaming {
		return list
	}
	unsettled := c.server.origins.Unsettled(c.service)
	if len(unsettled) == 0 {
		return list
	}
	settled := slices.DeleteFunc(slices.Clone(list), func(in site.Instance) bool { return slices.Contains(unsettled, in.Version) })
	if len(settled) == 0 {
		return list
	}
	return settled
}
