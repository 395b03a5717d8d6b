package motor

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/back/engine"
)

const defaultTokens = 16

var vocabulary = strings.Fields("amber bell crystal drop even facet glass hook iron jet knot lamp mirror nickel oval pendant quartz ring silver tier urn velvet wire yarn zinc wool quilt fleece linen cotton")

// Word returns the n-th token of the answer to the messages of a chat completion.
func Word(messages []byte, n int) string {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(n >> (8 * i))
	}
	d := xxhash.New()
	// A hash never fails to take bytes.
	_, _ = d.Write(messages)
	_, _ = d.Write(seed[:])
	return vocabulary[d.Sum64()%uint64(len(vocabulary))] + " "
}

// Answer returns the whole answer to the messages of a chat completion.
func Answer(messages []byte, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Word(messages, n))
	}
	return b.String()
}

type prompt struct {
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// Generate passes on the answer's tokens at the engine's pace.
func (m *Motor) Generate(ctx context.Context, r engine.Request, fn func(engine.Token) error) (string, error) {
	var p prompt
	if err := json.Unmarshal(r.Body, &p); err != nil {
		return "", &engine.Rejected{Status: 400, Message: err.Error()}
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultTokens
	}
	if err := m.start(r.Item); err != nil {
		return "", err
	}
	defer m.finish()
	pace := m.set.FirstToken
	for n := r.SkipTokens; n < p.MaxTokens; n++ {
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			return "", &engine.Broken{Tokens: n, Err: ctx.Err()}
		}
		if err := m.hang(ctx, func(f Faults) bool { return f.HangTokens }); err != nil {
			return "", err
		}
		if m.breaks(n - r.SkipTokens) {
			return "", &engine.Broken{Tokens: n, Err: errors.New("engine died")}
		}
		if err := fn(engine.Token{Index: n, Text: Word(p.Messages, n)}); err != nil {
			return "", err
		}
		pace = m.set.TokenTime
	}
	return "stop", nil
}

func (m *Motor) start(i engine.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	base := m.base(i)
	if base == nil || base.loading || base.leaving {
		return &engine.NotLoaded{Item: i}
	}
	if s := m.items[i]; s == nil || s.loading || s.leaving {
		return &engine.NotLoaded{Item: i}
	}
	m.running++
	m.generated++
	return nil
}

// base returns the state of an item's base model at any version.
func (m *Motor) base(i engine.Item) *state {
	for held, s := range m.items {
		if held.Model == i.Model && held.Adapter == "" {
			return s
		}
	}
	return nil
}

func (m *Motor) finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *Motor) breaks(tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.BreakAfter == 0 || tokens < m.faults.BreakAfter {
		return false
	}
	m.faults.BreakAfter = 0
	return true
}
