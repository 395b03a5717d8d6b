package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/intake"
	"foxtailcroft/internal/base/memory"
	"foxtailcroft/internal/core/site"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is passed on.
	maxAnswerBytes = 8 << 20
	// maxUnsignedBytes bounds such an answer if no instance has signed it.
	maxUnsignedBytes = 64 << 10
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
	c.server.memory.Open(&c.answerMemory, intake.CallerAddress(c.r))
	defer c.answerMemory.Close()
	blocks, err := c.readAnswer(res)
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
	for _, data := range blocks {
		if _, err := c.w.Write(data); err != nil {
			c.outcome = "answered, caller left"
			break
		}
	}
	return requestEnded
}

// readAnswer reads an answer's body into blocks whose memory is charged before they are read.
func (c *call) readAnswer(res *conns.Response) (blocks [][]byte, err error) {
	limit := int64(maxAnswerBytes)
	if !c.server.dialect.IsSigned(res.Header) {
		if res.Status < http.StatusMultipleChoices {
			return nil, errors.New("answer without signature or with an encoding")
		}
		limit = maxUnsignedBytes
	}
	var sizes memory.BlockSizes
	for left := limit; left > 0; {
		block := sizes.Next(left)
		left -= block
		if err := c.answerMemory.Grow(block); err != nil {
			return nil, fmt.Errorf("answer not read: %w", err)
		}
		data, err := readFull(res.Body, make([]byte, 0, block))
		blocks = append(blocks, data)
		switch {
		case errors.Is(err, io.EOF):
			return blocks, nil
		case err != nil:
			return nil, err
		}
	}
	return nil, fmt.Errorf("answer over %d bytes", limit)
}

// readFull reads until a block is full. Unlike io.ReadFull it returns the reader's own error, so that
// io.EOF is the end of a whole body and io.ErrUnexpectedEOF that of a truncated one.
func readFull(r io.Reader, block []byte) ([]byte, error) {
	for len(block) < cap(block) {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil {
			return block, err
		}
	}
	return block, nil
}

// copyHeader copies the end-to-end headers of an answer.
func (c *call) copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from, c.server.dialect.IsEndToEnd) {
		to[name] = values
	}
}
