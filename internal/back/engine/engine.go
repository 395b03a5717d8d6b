package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Item identifies a model version, or an adapter version on its base model.
type Item struct {
	Model   string
	Adapter string
	Version string
}

// String returns model@version or model+adapter@version.
func (i Item) String() string {
	if i.Adapter != "" {
		return i.Model + "+" + i.Adapter + "@" + i.Version
	}
	return i.Model + "@" + i.Version
}

// Order tells an engine to load or unload an item. Fence is the epoch of the
// ordering agent; engines that check it refuse a lower one than the highest seen.
type Order struct {
	Item  Item
	Bytes int64
	Fence int64
	// Authorize, if not nil, is called before each call of the order; a *Fenced error ends the order.
	Authorize func(context.Context) error
}

// Authorized calls Authorize; nil if there is none.
func (o Order) Authorized(ctx context.Context) error {
	if o.Authorize == nil {
		return nil
	}
	return o.Authorize(ctx)
}

// LoadedItem is an item that is loaded or loading into accelerator memory.
type LoadedItem struct {
	Item  Item
	Bytes int64
	// Loading is true until the item can serve.
	Loading bool
}

// Report is an engine's report of its state, which may lag behind. MemoryBytes is the size
// of its accelerator memory, Running the number of requests that it is generating.
type Report struct {
	MemoryBytes int64
	Items       []LoadedItem
	Running     int
	// Cached maps a model to where its checkpoint is cached: "memory" or "disk".
	Cached map[string]string
}

// Request is a request for one generation.
type Request struct {
	Item Item
	// Body is the caller's chat completion request.
	Body json.RawMessage
	// Priority orders requests inside the engine, 0 first.
	Priority int
	// SkipTokens and Prefix resume a generation that another replica began: the number of its tokens and their text.
	SkipTokens int
	Prefix     string
}

// Token is one generated token; Index counts from 0 over the whole response.
type Token struct {
	Index int
	Text  string
}

// Engine is a model engine. Load and Unload return once the order has taken
// effect; they are idempotent.
type Engine interface {
	Load(ctx context.Context, o Order) error
	Unload(ctx context.Context, o Order) error
	Report(ctx context.Context) (Report, error)
	// Generate passes each token to fn and returns the finish reason at the end marker.
	Generate(ctx context.Context, r Request, fn func(Token) error) (finish string, err error)
}

// Fenced is the error of an order with an outdated fencing token.
type Fenced struct {
	Given, Current int64
}

// Error returns a message with both tokens.
func (f *Fenced) Error() string {
	return fmt.Sprintf("order with fencing number %d refused, the engine has seen %d", f.Given, f.Current)
}

// OutOfMemory is the error of a load that does not fit; Free is in bytes.
type OutOfMemory struct {
	Item Item
	Free int64
}

// Error returns a message with the item and the free memory.
func (n *OutOfMemory) Error() string {
	return fmt.Sprintf("no accelerator memory for %s: %d bytes free", n.Item, n.Free)
}

// NotLoaded is the error of a generation on an item that the engine does not hold.
type NotLoaded struct {
	Item Item
}

// Error returns a message with the item.
func (n *NotLoaded) Error() string {
	return fmt.Sprintf("%s is not loaded", n.Item)
}

// Rejected is the error of a request that the engine found invalid.
type Rejected struct {
	Status  int
	Message string
}

// Error returns the engine's status and message.
func (r *Rejected) Error() string {
	return fmt.Sprintf("engine answered %d: %s", r.Status, r.Message)
}

// BrokenStream is the error of a stream that ended before its end marker; Tokens is the index of the next expected token.
type BrokenStream struct {
	Tokens int
	Err    error
}

// Error returns a message with the token count and the cause.
func (b *BrokenStream) Error() string {
	return fmt.Sprintf("stream ended after %d tokens without its end marker: %v", b.Tokens, b.Err)
}

// Unwrap returns the cause.
func (b *BrokenStream) Unwrap() error {
	return b.Err
}

const (
	// orderWait is how long an engine may delay the response to one order call (long poll).
	orderWait = 2 * time.Second
	// orderTimeout bounds one order call, so that a dead connection is replaced.
	orderTimeout = orderWait + 2*time.Second
	// reportTimeout bounds a report call.
	reportTimeout = 2 * time.Second
	// tokenTimeout bounds the time between two tokens of a stream.
	tokenTimeout = 8 * time.Second
)
