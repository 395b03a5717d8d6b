package engsim

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/back/engine"
)

// defaultMaxTokens is the answer's length in tokens if the request gives none.
const defaultMaxTokens = 16

var vocabulary = strings.Fields("amber bell crystal drop even facet glass hook iron jet knot lamp mirror nickel oval pendant quartz ring silver tier urn velvet wire yarn zinc wool quilt fleece linen cotton")

// Token returns the token at an index, from 0, of the answer to the messages of a chat completion. It depends only
// on the messages and the index.
func Token(messages []byte, index int) string {
	var indexBytes [8]byte
	for i := range indexBytes {
		indexBytes[i] = byte(index >> (8 * i))
	}
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = hash.Write(messages)
	_, _ = hash.Write(indexBytes[:])
	return vocabulary[hash.Sum64()%uint64(len(vocabulary))] + " "
}

// Completion returns the answer of a number of tokens to the messages of a chat completion.
func Completion(messages []byte, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(messages, n))
	}
	return b.String()
}

type chatPrompt struct {
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// Generate calls fn with the tokens of the answer after the skipped ones, paced
// by TimeToFirstToken and InterTokenLatency, and returns the finish reason.
func (m *Engine) Generate(ctx context.Context, r engine.Request, fn func(engine.Token) error) (string, error) {
	var p chatPrompt
	if err := json.Unmarshal(r.Body, &p); err != nil {
		return "", &engine.Rejected{Status: 400, Message: err.Error()}
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	if err := m.startGeneration(r.Item); err != nil {
		return "", err
	}
	defer m.endGeneration()
	delay := m.settings.TimeToFirstToken
	for n := r.SkipTokens; n < p.MaxTokens; n++ {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return "", &engine.BrokenStream{Tokens: n, Err: ctx.Err()}
		}
		if err := m.waitWhile(ctx, func(f Faults) bool { return f.HangTokens }); err != nil {
			return "", err
		}
		if m.shouldBreak(n - r.SkipTokens) {
			return "", &engine.BrokenStream{Tokens: n, Err: errors.New("generation broken off by fault switch BreakAfter")}
		}
		if err := fn(engine.Token{Index: n, Text: Token(p.Messages, n)}); err != nil {
			return "", err
		}
		delay = m.settings.InterTokenLatency
	}
	return "stop", nil
}

func (m *Engine) startGeneration(i engine.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	base := m.baseModel(i)
	if base == nil || base.loading || base.unloading {
		return &engine.NotLoaded{Item: i}
	}
	if s := m.items[i]; s == nil || s.loading || s.unloading {
		return &engine.NotLoaded{Item: i}
	}
	m.runningGenerations++
	m.startedGenerations++
	return nil
}

// baseModel returns the state of an item's base model at any version, or nil.
func (m *Engine) baseModel(i engine.Item) *itemState {
	for loaded, s := range m.items {
		if loaded.Model == i.Model && loaded.Adapter == "" {
			return s
		}
	}
	return nil
}

func (m *Engine) endGeneration() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningGenerations--
}

func (m *Engine) shouldBreak(sentTokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.BreakAfter == 0 || sentTokens < m.faults.BreakAfter {
		return false
	}
	m.faults.BreakAfter = 0
	return true
}
