package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/entry/calls"
	"foxtailcroft/internal/link/wire"
)

// chatWriter is a Sink that writes an answer as a chat completion, streamed or whole.
type chatWriter struct {
	w              http.ResponseWriter
	control        *http.ResponseController
	id             string
	request        chatBody
	began          time.Time
	firstTokenTime *metrics.Histogram
	text           strings.Builder
	tokens         int
	// started is true once the headers of a streamed answer have been written.
	started bool
}

func newChatWriter(w http.ResponseWriter, id string, chat chatBody, began time.Time, firstTokenTime *metrics.Histogram) *chatWriter {
	return &chatWriter{w: w, control: http.NewResponseController(w), id: id, request: chat, began: began, firstTokenTime: firstTokenTime}
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index   int    `json:"index"`
	Delta   *delta `json:"delta,omitempty"`
	Message *delta `json:"message,omitempty"`
	Finish  string `json:"finish_reason,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (c *chatWriter) newCompletion(object string, ch choice) completion {
	return completion{ID: "chatcmpl-" + c.id, Object: object, Created: c.began.Unix(), Model: c.request.Model, Choices: []choice{ch}}
}

// WritePiece writes a piece to a streaming caller at once, and buffers it for any other.
func (c *chatWriter) WritePiece(p wire.Piece) error {
	if c.tokens == 0 {
		c.firstTokenTime.UpdateDuration(c.began)
	}
	c.tokens += p.Tokens
	if !c.request.Stream {
		c.text.Write(p.Data)
		return nil
	}
	d := delta{Content: string(p.Data)}
	if !c.started {
		c.startStream()
		d.Role = "assistant"
	}
	return c.writeEvent(c.newCompletion("chat.completion.chunk", choice{Delta: &d}))
}

func (c *chatWriter) startStream() {
	c.started = true
	h := c.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, c.id)
	c.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one server-sent event.
func (c *chatWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return c.control.Flush()
}

// finish ends the answer: with the end marker or the whole completion if err is
// nil, else with the refusal.
func (c *chatWriter) finish(res calls.Result, err error) {
	switch {
	case err != nil && !c.started:
		writeRefusal(c.w, c.id, err)
	case err != nil:
		// A write error means that the caller has gone.
		_ = c.writeEvent(bodyOf(fault.AsRefusal(err)))
	case c.request.Stream:
		c.finishStream(res)
	default:
		c.writeWhole(res)
	}
}

func (c *chatWriter) finishStream(res calls.Result) {
	if !c.started {
		c.startStream()
	}
	last := c.newCompletion("chat.completion.chunk", choice{Delta: &delta{}, Finish: res.FinishReason})
	last.Usage = &usage{c.tokens}
	if c.writeEvent(last) != nil {
		return
	}
	// A write error means that the caller has gone.
	_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *chatWriter) writeWhole(res calls.Result) {
	setResultHeaders(c.w.Header(), c.id, res)
	c.w.Header().Set("Content-Type", "application/json")
	whole := c.newCompletion("chat.completion", choice{Message: &delta{Role: "assistant", Content: c.text.String()}, Finish: res.FinishReason})
	whole.Usage = &usage{c.tokens}
	// A write error means that the caller has gone.
	_ = json.NewEncoder(c.w).Encode(whole)
}
