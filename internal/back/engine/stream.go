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

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 256 << 10

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Generate streams one completion. Errors include *NotLoaded, *Rejected and *BrokenStream; a stream without a token for tokenTimeout is broken off.
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
		return "", responseError(r.Item, resp)
	}
	// The watchdog cancels a stream without a token for tokenTimeout.
	watchdog := time.AfterFunc(tokenTimeout, cancel)
	defer watchdog.Stop()
	return readStream(resp.Body, r.SkipTokens, func(t Token) error {
		watchdog.Reset(tokenTimeout)
		return fn(t)
	})
}

// streamBody returns the caller's request with the fields that the engine needs set.
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

func responseError(item Item, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return &NotLoaded{Item: item}
	case resp.StatusCode < http.StatusInternalServerError:
		return &Rejected{Status: resp.StatusCode, Message: string(text)}
	}
	return &fault.Unavailable{Service: "engine", Err: fmt.Errorf("answered %s: %s", resp.Status, text), MayHaveApplied: true}
}

// streamReader is the parser state of one event stream.
type streamReader struct {
	nextIndex    int
	eventID      int
	finishReason string
	done         bool
	fn           func(Token) error
}

// readStream passes each token of an event stream to fn until the end marker.
// An event's ID is its token's index; a repeated index is dropped, and a gap
// breaks the stream.
func readStream(body io.Reader, next int, fn func(Token) error) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	r := &streamReader{nextIndex: next, eventID: -1, fn: fn}
	for lines.Scan() {
		if err := r.readLine(lines.Bytes()); err != nil {
			return "", err
		}
		if r.done {
			return r.finishReason, nil
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return "", r.brokenError(err)
}

func (r *streamReader) brokenError(err error) error {
	return &BrokenStream{Tokens: r.nextIndex, Err: err}
}

// readLine parses one line of the stream.
func (r *streamReader) readLine(line []byte) error {
	if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
		n, err := strconv.Atoi(string(v))
		if err != nil {
			return r.brokenError(fmt.Errorf("event id %q is not a number", v))
		}
		r.eventID = n
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return nil
	case string(data) != "[DONE]":
		return r.readEvent(data)
	case r.finishReason == "":
		return r.brokenError(fmt.Errorf("end marker without a finish reason"))
	}
	r.done = true
	return nil
}

// readEvent parses one event and passes on its token.
func (r *streamReader) readEvent(data []byte) error {
	text, reason, err := parseChunk(data)
	if err != nil {
		return r.brokenError(err)
	}
	if reason != "" {
		r.finishReason = reason
	}
	id := r.eventID
	r.eventID = -1
	if text == "" || (id >= 0 && id < r.nextIndex) {
		return nil
	}
	if id > r.nextIndex {
		return r.brokenError(fmt.Errorf("token %d follows token %d", id, r.nextIndex-1))
	}
	if err := r.fn(Token{Index: r.nextIndex, Text: text}); err != nil {
		return err
	}
	r.nextIndex++
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
