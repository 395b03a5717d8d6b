package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Item names what an engine holds: a model, or an adapter on its base model.
type Item struct {
	Model   string
	Adapter string
	Version string
}

// String writes model or model+adapter, at a version.
func (i Item) String() string {
	if i.Adapter != "" {
		return i.Model + "+" + i.Adapter + "@" + i.Version
	}
	return i.Model + "@" + i.Version
}

// Order tells an engine to load or unload an item. Fence is the epoch of the
// agent that orders; engines that check it refuse a lower number than they saw.
type Order struct {
	Item  Item
	Bytes int64
	Fence int64
	// Check is called before each message of the order is sent; an error ends the order. It may be nil.
	Check func(context.Context) error
}

// Allowed runs the order's Check.
func (o Order) Allowed(ctx context.Context) error {
	if o.Check == nil {
		return nil
	}
	return o.Check(ctx)
}

// Held is an item that an engine has or is about to have in its accelerator memory.
type Held struct {
	Item  Item
	Bytes int64
	// Loading is true until the item can serve.
	Loading bool
}

// Report is what an engine tells of itself, some time late.
type Report struct {
	MemoryBytes int64
	Held        []Held
	Running     int
	// Cached gives, by model, how near its checkpoint is: "memory" or "disk".
	Cached map[string]string
}

// Request is one generation.
type Request struct {
	Item Item
	// Body is the caller's chat completion request.
	Body json.RawMessage
	// Priority orders requests inside the engine, 0 first.
	Priority int
	// SkipTokens and Prefix continue a generation that another replica began.
	SkipTokens int
	Prefix     string
}

// Token is one generated token; Index counts from 0 over the whole answer.
type Token struct {
	Index int
	Text  string
}

// Engine is a model engine as an agent uses it. Load and Unload return once
// the order has taken effect, and repeating them is harmless.
type Engine interface {
	Load(ctx context.Context, o Order) error
	Unload(ctx context.Context, o Order) error
	Report(ctx context.Context) (Report, error)
	// Generate passes each token to fn and returns the finish reason at the end marker.
	Generate(ctx context.Context, r Request, fn func(Token) error) (finish string, err error)
}

// Fenced reports an order that carried an old fencing number.
type Fenced struct {
	Given, Current int64
}

// Error names both numbers.
func (f *Fenced) Error() string {
	return fmt.Sprintf("order with fencing number %d refused, the engine has seen %d", f.Given, f.Current)
}

// NoMemory reports a load that did not fit.
type NoMemory struct {
	Item Item
	Free int64
}

// Error names the item and the free memory.
func (n *NoMemory) Error() string {
	return fmt.Sprintf("no accelerator memory for %s: %d bytes free", n.Item, n.Free)
}

// NotLoaded reports a generation on an item that the engine does not hold.
type NotLoaded struct {
	Item Item
}

// Error names the item.
func (n *NotLoaded) Error() string {
	return fmt.Sprintf("%s is not loaded", n.Item)
}

// Rejected reports a request that the engine found invalid.
type Rejected struct {
	Status  int
	Message string
}

// Error quotes the engine.
func (r *Rejected) Error() string {
	return fmt.Sprintf("engine answered %d: %s", r.Status, r.Message)
}

// Broken reports a stream that ended before its end marker.
type Broken struct {
	Tokens int
	Err    error
}

// Error says how far the stream came.
func (b *Broken) Error() string {
	return fmt.Sprintf("stream ended after %d tokens without its end marker: %v", b.Tokens, b.Err)
}

// Unwrap returns the cause.
func (b *Broken) Unwrap() error {
	return b.Err
}

const (
	// orderWait is how long an engine may hold back the answer to one order call.
	orderWait = 2 * time.Second
	// orderTimeout bounds one order call, so that a silent connection is replaced.
	orderTimeout = orderWait + 2*time.Second
	// reportTimeout bounds a report call.
	reportTimeout = 2 * time.Second
	// tokenTimeout bounds the silence between two tokens of a stream.
	tokenTimeout = 8 * time.Second
)
