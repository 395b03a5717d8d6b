package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/site"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 128 << 10

// eventsUnderWay is the number of events after which an answer is under way, so that its
// request has not crashed the instance.
const eventsUnderWay = 2

// recordedPauseDivisor divides a route's longest allowed gap: pauses above the result are recorded.
const recordedPauseDivisor = 2

// maxRecordedPausePercent bounds a recorded pause, in percent of the route's longest
// allowed gap, so that the effect of a single long pause decays soon.
const maxRecordedPausePercent = 125

// errTruncatedEvent reports a stream that ended inside an event.
var errTruncatedEvent = errors.New("stream ended inside an event")

// stream is the state of a streamed answer whose header was sent to the caller.
type stream struct {
	// lastEventID is the id of the last event passed on, or else the one that the caller resumes after.
	lastEventID string
	eventCount  int
	// lastEventAt is when the last event was passed on.
	lastEventAt time.Time
	// longestPause is the longest time between two events so far.
	longestPause time.Duration
}

// relayStream passes events on as they arrive; a broken stream is resumed at another instance where that is allowed.
func (c *call) relayStream(ctx context.Context, in site.Instance, res *conns.Response) nextStep {
	if !c.server.dialect.IsSigned(res.Header) {
		res.Finish(false)
		c.server.tracker.recordOutcome(in.InstanceKey, true)
		c.reason = "stream without signature or with an encoding"
		return c.handleFailure(true)
	}
	reader := bufio.NewReader(res.Body)
	defer c.recordStreamEnd(in.InstanceKey)
	c.server.memory.Open(&c.answerMemory, intake.CallerAddress(c.r))
	defer c.answerMemory.Close()
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			res.Finish(true)
			return c.endStream(in, res)
		}
		if err == nil {
			err = c.checkEvent(event, id)
		}
		if err != nil {
			res.Finish(false)
			return c.handleBrokenStream(ctx, in, err)
		}
		if !c.bindStream(ctx, in) {
			res.Finish(false)
			c.reason = "the begun stream could not be recorded"
			c.logAttempt("not recorded", in, c.reason)
			if ctx.Err() != nil {
				return tryAnother
			}
			return c.handleFailure(true)
		}
		release, err := c.holdEvent(event)
		if err != nil {
			res.Finish(false)
			c.fail(http.StatusBadGateway, err.Error())
			return requestEnded
		}
		if err := c.relayEvent(in, res, event, id); err != nil {
			res.Finish(false)
			c.endCallerLeft()
		}
		c.answerMemory.Release(release)
	}
}

// holdEvent charges the memory of a long event until the caller has taken it, and returns what to
// release; short ones fit into what each connection costs anyway.
func (c *call) holdEvent(event []byte) (int64, error) {
	if len(event) <= memory.FirstBlockBytes {
		return 0, nil
	}
	n := int64(cap(event))
	return n, c.answerMemory.Grow(n)
}

// relayEvent writes one event to the caller, preceded by the header if it is the first.
func (c *call) relayEvent(in site.Instance, res *conns.Response, event []byte, id string) error {
	c.answerBegan = true
	if c.attemptEvents++; c.attemptEvents == eventsUnderWay {
		c.recordAnswer()
	}
	c.writeHead(res)
	if id != "" {
		c.stream.lastEventID = id
	}
	now := time.Now()
	if c.stream.eventCount > 0 {
		gap := now.Sub(c.stream.lastEventAt)
		c.stream.longestPause = max(c.stream.longestPause, gap)
		if c.route.MaxTokenGap > 0 && gap > c.route.MaxTokenGap/recordedPauseDivisor {
			c.server.tracker.recordPause(in.InstanceKey, min(gap, c.route.MaxTokenGap*maxRecordedPausePercent/100))
		}
	}
	c.stream.eventCount++
	c.stream.lastEventAt = now
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// writeHead writes the status and header of the stream's first answer, once.
func (c *call) writeHead(res *conns.Response) {
	if c.stream != nil {
		return
	}
	c.stream = &stream{lastEventID: c.request.LastEventID}
	c.firstOutputAfter = time.Since(c.arrivedAt)
	c.copyHeader(c.w.Header(), res.Header)
	c.w.WriteHeader(res.Status)
}

// recordStreamEnd records a stream for the planner if its route limits pauses.
func (c *call) recordStreamEnd(k site.InstanceKey) {
	if c.stream != nil && c.route.MaxTokenGap > 0 {
		c.server.tracker.recordStreamEnd(k, c.request.Target, c.stream.longestPause > c.route.MaxTokenGap)
	}
}

// endStream ends a request whose stream is complete.
func (c *call) endStream(in site.Instance, res *conns.Response) nextStep {
	c.writeHead(res)
	c.server.tracker.recordOutcome(in.InstanceKey, false)
	c.recordAnswer()
	c.recordStreamComplete()
	c.outcome, c.status = outcomeAnswered, res.Status
	return requestEnded
}

// handleBrokenStream decides what follows a stream that ended with an error.
func (c *call) handleBrokenStream(ctx context.Context, in site.Instance, err error) nextStep {
	c.reason = err.Error()
	if ctx.Err() != nil {
		return tryAnother
	}
	c.server.tracker.recordOutcome(in.InstanceKey, true)
	c.server.tracker.recordBreak(in)
	if c.attemptEvents < eventsUnderWay {
		c.brokenStarts++
		c.recordBroken(in, true)
	}
	c.logAttempt("stream ended with an error", in, c.reason)
	return c.handleFailure(true)
}

// checkEvent returns an error unless an event may be passed on: a response without a length may go
// on with bytes that are no events, and an instance may ignore what it should resume after.
func (c *call) checkEvent(event []byte, id string) error {
	idsExpected := c.stream != nil && c.stream.lastEventID != ""
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		field, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(field, isNotInFieldName) || string(field) == "data" && id == "" && idsExpected {
			return &malformedEventError{Line: string(line[:min(maxLoggedLineBytes, len(line))])}
		}
	}
	last, lastErr := strconv.ParseUint(c.resumedAfter, 10, 64)
	if n, err := strconv.ParseUint(id, 10, 64); err == nil && lastErr == nil && n <= last {
		return &eventOrderError{ID: id, ResumedAfter: c.resumedAfter}
	}
	return nil
}

// isNotInFieldName reports whether a character can't be in the name of an event's field.
func isNotInFieldName(r rune) bool {
	return r != '-' && (r < 'a' || r > 'z')
}

// maxLoggedLineBytes bounds the part of a malformed line that an error shows.
const maxLoggedLineBytes = 40

// malformedEventError reports a line that can't be part of an event.
type malformedEventError struct {
	Line string
}

// Error returns a message with the beginning of the line.
func (e *malformedEventError) Error() string {
	return fmt.Sprintf("malformed event: %q", e.Line)
}

// eventOrderError reports an event of a resumed stream that doesn't come after the one to resume after.
type eventOrderError struct {
	ID           string
	ResumedAfter string
}

// Error returns a message with both IDs.
func (e *eventOrderError) Error() string {
	return fmt.Sprintf("event %s in a stream resumed after event %s", e.ID, e.ResumedAfter)
}

// readEvent reads one event including its closing blank line, and its id, which is
// empty if it has none. Bytes after the last complete event come with an error.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for len(event) < maxEventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return event, id, errTruncatedEvent
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

// splitList splits a comma-separated header value and drops empty elements.
func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if p := strings.TrimSpace(part); p != "" {
			out = append(out, p)
		}
	}
	return out
}
