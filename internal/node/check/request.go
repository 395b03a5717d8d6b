package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"foxtailcroft/internal/core/kinds"
)

// Request is an example request as declared in its file.
type Request struct {
	Name string `yaml:"Name" validate:"required"`
	// Model names a model or adapter. For a call of a plain service, Service, Method and Path are set instead.
	Model     string         `yaml:"Model" validate:"required_without=Service"`
	Service   string         `yaml:"Service"`
	Method    string         `yaml:"Method"`
	Path      string         `yaml:"Path"`
	Class     string         `yaml:"Class" validate:"oneof=urgent interactive patient"`
	Timeout   kinds.Duration `yaml:"Timeout" validate:"gt=0"`
	Prompt    string         `yaml:"Prompt"`
	MaxTokens int            `yaml:"MaxTokens" validate:"gte=0"`
	Stream    bool           `yaml:"Stream"`
	Key       string         `yaml:"Key"`
	// Count is how many copies of the request are sent concurrently, distributed over the entries in turn;
	// 0 means 1.
	Count int `yaml:"Count" validate:"gte=0,lte=1024"`
	// RunsOnce requires that the service executed the plain call exactly once.
	RunsOnce bool `yaml:"RunsOnce"`
	// Expect is Answered, or NotRun for a refusal with the header X-Not-Run: true.
	Expect string `yaml:"Expect" validate:"oneof=Answered NotRun"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the prompt as chat messages.
func (r Request) messages() []message {
	return []message{{Role: "user", Content: r.Prompt}}
}

// body returns the HTTP request body.
func (r Request) body() ([]byte, error) {
	if r.Service != "" {
		return []byte(r.Prompt), nil
	}
	return json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{r.Model, r.Stream, r.MaxTokens, r.messages()})
}

// newHTTPRequest returns the HTTP request with number n for an entry's base URL.
func (r Request) newHTTPRequest(entry string, n int) (*http.Request, error) {
	body, err := r.body()
	if err != nil {
		return nil, err
	}
	method, path := http.MethodPost, "/v1/chat/completions"
	if r.Service != "" {
		method, path = r.Method, "/services/"+r.Service+r.Path
	}
	req, err := http.NewRequest(method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", fmt.Sprintf("check-%d", n))
	req.Header.Set("X-Class", r.Class)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(r.Timeout.Std().Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}
