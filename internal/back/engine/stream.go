package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"foxtailcroft/internal/core/fault"
)

// maxLine bounds one line of an event stream.
const maxLine = 256 << 10

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Generate streams one completion.
func (c *Client) Generate(ctx context.Context, r Request, fn func(Token) error) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := streamBody(r)
	if err != nil {
		return "", &Rejected{Status: http.StatusBadRequest, Message: err.Error()}
	}
	resp, err := c.post(ctx, "/v1/chat/completions", body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", rejection(r.Item, resp)
	}
	// The watchdog ends a stream whose connection has gone silent.
	watchdog := time.AfterFunc(tokenTimeout, cancel)
	defer watchdog.Stop()
	return readStream(resp.Body, r.SkipTokens, func(t Token) error {
		watchdog.Reset(tokenTimeout)
		return fn(t)
	})
}

// streamBody rewrites the caller's request for the engine.
func streamBody(r Request) (map[string]json.RawMessage, error) {
	body := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	name := r.Item.Model
	if r.Item.Adapter != "" {
		name = r.Item.Adapter
	}
	fields := []struct {
		key   string
		value any
	}{
		{"model", name},
		{"stream", true},
		{"priority", r.Priority},
	}
	if r.SkipTokens > 0 {
		resume := struct {
			Tokens int    `json:"tokens"`
			Text   string `json:"text"`
		}{r.SkipTokens, r.Prefix}
		fields = append(fields, struct {
			key   string
			value any
		}{"resume", resume})
	}
	for _, f := range fields {
		data, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		body[f.key] = data
	}
	return body, nil
}

func rejection(item Item, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return &NotLoaded{Item: item}
	case resp.StatusCode < http.StatusInternalServerError:
		return &Rejected{Status: resp.StatusCode, Message: string(text)}
	}
	return &fault.Away{Part: "engine", Err: fmt.Errorf("answered %s: %s", resp.Status, text), Unsettled: true}
}

// reader is the state of one event stream.
type reader struct {
	next   int
	id     int
	finish string
	done   bool
	fn     func(Token) error
}

// readStream passes on each token of an event stream until its end marker.
// Events carry the token's index as their id; an index that was passed on
// already is dropped, and a gap breaks the stream.
func readStream(body io.Reader, next int, fn func(Token) error) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLine)
	r := &reader{next: next, id: -1, fn: fn}
	for lines.Scan() {
		if err := r.line(lines.Bytes()); err != nil {
			return "", err
		}
		if r.done {
			return r.finish, nil
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return "", r.broken(err)
}

func (r *reader) broken(err error) error {
	return &Broken{Tokens: r.next, Err: err}
}

// line takes in one line of the stream.
func (r *reader) line(line []byte) error {
	if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
		n, err := strconv.Atoi(string(v))
		if err != nil {
			return r.broken(fmt.Errorf("event id %q is not a number", v))
		}
		r.id = n
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return nil
	case string(data) != "[DONE]":
		return r.data(data)
	case r.finish == "":
		return r.broken(fmt.Errorf("end marker without a finish reason"))
	}
	r.done = true
	return nil
}

// data takes in one event.
func (r *reader) data(data []byte) error {
	text, reason, err := parseChunk(data)
	if err != nil {
		return r.broken(err)
	}
	if reason != "" {
		r.finish = reason
	}
	id := r.id
	r.id = -1
	if text == "" || (id >= 0 && id < r.next) {
		return nil
	}
	if id > r.next {
		return r.broken(fmt.Errorf("token %d follows token %d", id, r.next-1))
	}
	if err := r.fn(Token{Index: r.next, Text: text}); err != nil {
		return err
	}
	r.next++
	return nil
}

func parseChunk(data []byte) (text, finish string, err error) {
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", "", fmt.Errorf("event: %w", err)
	}
	for _, choice := range chunk.Choices {
		text += choice.Delta.Content
		if choice.FinishReason != nil {
			finish = *choice.FinishReason
		}
	}
	return text, finish, nil
}
