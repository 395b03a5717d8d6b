package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

// maxWhole bounds an answer that is read whole before it is passed on.
const maxWhole = 16 << 20

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of headers without those of one connection. A sender
// may not name a header that is meant for all recipients as one of its connection.
func forwarded(h http.Header, forAll func(name string) bool) http.Header {
	out := h.Clone()
	for _, name := range h.Values("Connection") {
		for _, n := range splitList(name) {
			if !forAll(n) {
				out.Del(n)
			}
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// relayWhole reads an answer to its end and passes it on, or tries again where that is allowed.
func (c *call) relayWhole(ctx context.Context, in site.Instance, res *conns.Response) step {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxWhole+1))
	if err == nil && len(data) > maxWhole {
		err = fmt.Errorf("answer over %d bytes", maxWhole)
	}
	res.Done(err == nil)
	if ctx.Err() != nil {
		return again
	}
	if err == nil && res.Status < http.StatusMultipleChoices && !c.server.dialect.Signed(res.Header) {
		err = fmt.Errorf("answer without signature or with an encoding")
	}
	if err != nil {
		c.server.track.outcome(in.Key, true)
		c.reason = err.Error()
		c.note("answer not whole", in, c.reason)
		return c.afterFailure(true)
	}
	failed := res.Status >= http.StatusInternalServerError
	c.server.track.outcome(in.Key, failed)
	if failed && c.stream == nil && c.mayRepeat() {
		c.note("instance failed", in, http.StatusText(res.Status))
		return again
	}
	if c.stream != nil {
		c.reason = "resumed stream refused: " + http.StatusText(res.Status)
		return c.afterFailure(true)
	}
	c.copyHeader(c.w.Header(), res.Header)
	c.w.WriteHeader(res.Status)
	c.outcome, c.status = outcomeAnswered, res.Status
	c.first = time.Since(c.arrived)
	if _, err := c.w.Write(data); err != nil {
		c.outcome = "answered, caller left"
	}
	return done
}

func (c *call) copyHeader(to, from http.Header) {
	for name, values := range forwarded(from, c.server.dialect.ForAll) {
		to[name] = values
	}
}
