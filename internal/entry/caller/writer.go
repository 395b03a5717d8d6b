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

// chatWriter turns an answer's pieces into a chat completion, streamed or whole.
type chatWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	chat    chatBody
	began   time.Time
	first   *metrics.Histogram
	text    strings.Builder
	tokens  int
	started bool
}

func newChatWriter(w http.ResponseWriter, id string, chat chatBody, began time.Time, first *metrics.Histogram) *chatWriter {
	return &chatWriter{w: w, control: http.NewResponseController(w), id: id, chat: chat, began: began, first: first}
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

func (c *chatWriter) completion(object string, ch choice) completion {
	return completion{ID: "chatcmpl-" + c.id, Object: object, Created: c.began.Unix(), Model: c.chat.Model, Choices: []choice{ch}}
}

// Piece passes tokens on to a streaming caller and gathers them for others.
func (c *chatWriter) Piece(p wire.Piece) error {
	if c.tokens == 0 {
		c.first.UpdateDuration(c.began)
	}
	c.tokens += p.Tokens
	if !c.chat.Stream {
		c.text.Write(p.Data)
		return nil
	}
	d := delta{Content: string(p.Data)}
	if !c.started {
		c.start()
		d.Role = "assistant"
	}
	return c.event(c.completion("chat.completion.chunk", choice{Delta: &d}))
}

func (c *chatWriter) start() {
	c.started = true
	h := c.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, c.id)
	c.w.WriteHeader(http.StatusOK)
}

// event writes one server-sent event.
func (c *chatWriter) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return c.control.Flush()
}

// end closes the answer: with the end marker if it is whole, else with the refusal.
func (c *chatWriter) end(res calls.Result, err error) {
	switch {
	case err != nil && !c.started:
		refuse(c.w, c.id, err)
	case err != nil:
		// A caller that has gone does not read the refusal.
		_ = c.event(bodyOf(fault.Of(err)))
	case c.chat.Stream:
		c.endStream(res)
	default:
		c.endWhole(res)
	}
}

func (c *chatWriter) endStream(res calls.Result) {
	if !c.started {
		c.start()
	}
	last := c.completion("chat.completion.chunk", choice{Delta: &delta{}, Finish: res.Finish})
	last.Usage = &usage{c.tokens}
	if c.event(last) != nil {
		return
	}
	// A caller that has gone does not read the end marker.
	_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *chatWriter) endWhole(res calls.Result) {
	setResultHeaders(c.w.Header(), c.id, res)
	c.w.Header().Set("Content-Type", "application/json")
	whole := c.completion("chat.completion", choice{Message: &delta{Role: "assistant", Content: c.text.String()}, Finish: res.Finish})
	whole.Usage = &usage{c.tokens}
	// A caller that has gone does not read the answer.
	_ = json.NewEncoder(c.w).Encode(whole)
}
