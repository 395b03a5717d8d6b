package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// notedGap is the part of a route's longest pause, as a divisor, from which a pause is noted.
const notedGap = 2

// mostGap bounds a noted pause, in percent of the route's longest, so that a short disturbance is forgotten soon.
const mostGap = 125

// errEventCut reports a stream that ended inside an event.
var errEventCut = errors.New("stream ended inside an event")

// stream is a stream of which the head went to the caller.
type stream struct {
	// last is the id of the last event passed on, or the one that the caller named.
	last   string
	events int
	// at is when the last event went out, and gap the longest pause so far.
	at  time.Time
	gap time.Duration
}

// relayStream passes events on as they arrive; a broken stream goes on at another instance where that is allowed.
func (c *call) relayStream(ctx context.Context, in site.Instance, res *conns.Response) step {
	if !c.server.dialect.Signed(res.Header) {
		res.Done(false)
		c.server.track.outcome(in.Key, true)
		c.reason = "stream without signature or with an encoding"
		return c.afterFailure(true)
	}
	events := bufio.NewReader(res.Body)
	for {
		event, id, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			res.Done(true)
			return c.streamEnded(in, res)
		}
		if err != nil {
			res.Done(false)
			return c.streamBroke(ctx, in, err)
		}
		if err := c.pass(in.Key, res, event, id); err != nil {
			res.Done(false)
			c.left()
		}
	}
}

// pass writes one event to the caller, after the head if it is the first.
func (c *call) pass(from site.Key, res *conns.Response, event []byte, id string) error {
	c.head(res)
	if id != "" {
		c.stream.last = id
	}
	now := time.Now()
	if c.stream.events > 0 {
		gap := now.Sub(c.stream.at)
		c.stream.gap = max(c.stream.gap, gap)
		if c.route.MaxGap > 0 && gap > c.route.MaxGap/notedGap {
			c.server.track.paused(from, min(gap, c.route.MaxGap*mostGap/100))
		}
	}
	c.stream.events++
	c.stream.at = now
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// head writes the head of the stream's first instance.
func (c *call) head(res *conns.Response) {
	if c.stream != nil {
		return
	}
	c.stream = &stream{last: c.ask.LastEvent}
	c.first = time.Since(c.arrived)
	c.copyHeader(c.w.Header(), res.Header)
	c.w.WriteHeader(res.Status)
}

func (c *call) streamEnded(in site.Instance, res *conns.Response) step {
	c.head(res)
	c.server.track.outcome(in.Key, false)
	c.outcome, c.status = outcomeAnswered, res.Status
	return done
}

// streamBroke decides what follows a stream that broke off.
func (c *call) streamBroke(ctx context.Context, in site.Instance, err error) step {
	c.reason = err.Error()
	if ctx.Err() != nil {
		return again
	}
	c.server.track.outcome(in.Key, true)
	c.note("stream broke", in, c.reason)
	return c.afterFailure(true)
}

// readEvent reads one event with its closing blank line; what follows the last
// one is returned with an error.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for len(event) < maxEvent {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return event, id, errEventCut
			}
			return event, id, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			id = strings.TrimSpace(string(value))
		}
	}
	return event, id, errors.New("event too long")
}

func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if p := strings.TrimSpace(part); p != "" {
			out = append(out, p)
		}
	}
	return out
}
