package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/vmihailenco/msgpack/v5"

	"foxtailcroft/internal/core/fault"
)

type callHandler func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

type noteHandler func(c *Conn, params json.RawMessage)

type streamHandler func(c *Conn, data []byte)

// Mux maps methods to typed handlers. Register all before the first connection.
type Mux struct {
	calls   map[string]callHandler
	notes   map[string]noteHandler
	streams map[byte]streamHandler
}

// NewMux returns a Mux that knows no method.
func NewMux() *Mux {
	return &Mux{calls: map[string]callHandler{}, notes: map[string]noteHandler{}, streams: map[byte]streamHandler{}}
}

// OnCall registers the handler of a call; handlers of one connection run side by side.
func OnCall[Req, Rep any](m *Mux, method string, h func(context.Context, *Conn, Req) (Rep, error)) {
	m.calls[method] = func(ctx context.Context, c *Conn, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, fault.NotRun(fault.BadRequest, "parameters of %s: %v", method, err)
		}
		return h(ctx, c, req)
	}
}

// OnNote registers the handler of a notification; a connection's notifications are handled in order and must not block.
func OnNote[Req any](m *Mux, method string, h func(*Conn, Req)) {
	m.notes[method] = func(c *Conn, params json.RawMessage) {
		var req Req
		if json.Unmarshal(params, &req) == nil {
			h(c, req)
		}
	}
}

// OnStream registers the handler of a kind of stream message; it is called in
// order with the notifications of its connection and must not block.
func OnStream[M any](m *Mux, kind byte, h func(*Conn, M)) {
	m.streams[kind] = func(c *Conn, data []byte) {
		var message M
		if msgpack.Unmarshal(data, &message) == nil {
			h(c, message)
		}
	}
}

// stream dispatches one stream message.
func (c *Conn) stream(kind byte, data []byte) {
	if h := c.mux.streams[kind]; h != nil {
		h(c, data)
	}
}

// Handle dispatches one message.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		if h := c.mux.notes[req.Method]; h != nil {
			h(c, params)
		}
		return
	}
	h := c.mux.calls[req.Method]
	if h == nil {
		c.replyError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method})
		return
	}
	c.group.Go(func() {
		result, err := h(ctx, c, params)
		if err != nil {
			c.replyError(ctx, req.ID, toWire(err))
			return
		}
		// The connection's end is seen by its reader.
		_ = c.rpc.Reply(ctx, req.ID, result)
	})
}

func (c *Conn) replyError(ctx context.Context, id jsonrpc2.ID, e *jsonrpc2.Error) {
	// The connection's end is seen by its reader.
	_ = c.rpc.ReplyWithError(ctx, id, e)
}

// codeRefusal marks a JSON-RPC error whose data is a fault.Refusal.
const codeRefusal = 1

// toWire turns an error into a JSON-RPC error that carries a refusal where there is one.
func toWire(err error) *jsonrpc2.Error {
	var r *fault.Refusal
	if !errors.As(err, &r) {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: codeRefusal, Message: r.Message}
	e.SetError(r)
	return e
}

// fromWire turns a JSON-RPC error back into the refusal it carries.
func fromWire(e *jsonrpc2.Error) error {
	if e.Code != codeRefusal || e.Data == nil {
		return e
	}
	var r fault.Refusal
	if json.Unmarshal(*e.Data, &r) != nil {
		return e
	}
	return &r
}
