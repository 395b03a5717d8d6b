package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is passed on.
	maxAnswerBytes = 8 << 20
	// maxUnsignedBytes bounds such an answer if no instance has signed it.
	maxUnsignedBytes = 64 << 10
	// maxBufferedBytes bounds the memory of all long answers that are being read; faulty
	// instances may send them without end.
	maxBufferedBytes = 32 << 20
	// answerBlockBytes is the unit in which that memory is reserved, after the first block of an answer.
	answerBlockBytes = 64 << 10
)

// hopByHopHeaders concern a single connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of headers without the hop-by-hop ones. A
// Connection header cannot remove headers for which isEndToEnd is true.
func endToEndHeaders(h http.Header, isEndToEnd func(name string) bool) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, token := range splitList(value) {
			if !isEndToEnd(token) {
				out.Del(token)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// relayBuffered reads an answer to its end before passing it on, so that another
// instance can be tried where that is allowed if the answer is incomplete or an error.
func (c *call) relayBuffered(ctx context.Context, in site.Instance, res *conns.Response) nextStep {
	c.answerBegan = true
	data, release, err := c.readAnswer(res)
	defer release()
	res.Finish(err == nil)
	if ctx.Err() != nil {
		return tryAnother
	}
	if err != nil {
		c.server.tracker.recordOutcome(in.InstanceKey, true)
		c.brokenStarts++
		c.recordBroken(in, true)
		c.reason = err.Error()
		c.logAttempt("answer not whole", in, c.reason)
		return c.handleFailure(true)
	}
	promisesNotRun := c.server.dialect.PromisesNotRun(res.Status)
	failed := promisesNotRun || res.Status >= http.StatusInternalServerError
	c.server.tracker.recordOutcome(in.InstanceKey, failed)
	if !failed {
		c.recordAnswer()
	}
	if failed && c.stream == nil && c.reserveResend() {
		c.logAttempt("instance failed", in, http.StatusText(res.Status))
		return tryAnother
	}
	if c.stream != nil {
		c.reason = "resumed stream refused: " + http.StatusText(res.Status)
		return c.handleFailure(true)
	}
	if promisesNotRun {
		// Callers would take the status for a promise that the instance has not made.
		c.fail(http.StatusBadGateway, "instance answered "+http.StatusText(res.Status)+" and did not say that it did not run the request")
		return requestEnded
	}
	c.copyHeader(c.w.Header(), res.Header)
	c.w.WriteHeader(res.Status)
	c.outcome, c.status = outcomeAnswered, res.Status
	c.firstOutputAfter = time.Since(c.arrivedAt)
	if _, err := c.w.Write(data); err != nil {
		c.outcome = "answered, caller left"
	}
	return requestEnded
}

// readAnswer reads an answer's body and returns a function that releases its memory.
func (c *call) readAnswer(res *conns.Response) (data []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { c.server.answerMemory.Release(reserved) }
	limit := maxAnswerBytes
	if !c.server.dialect.IsSigned(res.Header) {
		if res.Status < http.StatusMultipleChoices {
			return nil, release, errors.New("answer without signature or with an encoding")
		}
		limit = maxUnsignedBytes
	}
	var buffer bytes.Buffer
	for {
		n, err := io.CopyN(&buffer, res.Body, answerBlockBytes)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case err != nil:
			return nil, release, err
		case buffer.Len() >= limit:
			return nil, release, fmt.Errorf("answer over %d bytes", limit)
		case !c.server.answerMemory.TryAcquire(n):
			return nil, release, fmt.Errorf("long answers take over %d bytes of memory", maxBufferedBytes)
		}
		reserved += n
	}
}

// copyHeader copies the end-to-end headers of an answer.
func (c *call) copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from, c.server.dialect.IsEndToEnd) {
		to[name] = values
	}
}
