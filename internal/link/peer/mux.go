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

type notificationHandler func(c *Conn, params json.RawMessage)

type streamHandler func(c *Conn, data []byte)

// Mux maps methods and stream kinds to typed handlers. All handlers must be registered before the first connection.
type Mux struct {
	calls         map[string]callHandler
	notifications map[string]notificationHandler
	streams       map[byte]streamHandler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{calls: map[string]callHandler{}, notifications: map[string]notificationHandler{}, streams: map[byte]streamHandler{}}
}

// OnCall registers the handler of a call. Calls on the same connection are handled concurrently.
func OnCall[Req, Rep any](m *Mux, method string, h func(context.Context, *Conn, Req) (Rep, error)) {
	m.calls[method] = func(ctx context.Context, c *Conn, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, fault.NotRun(fault.BadRequest, "parameters of %s: %v", method, err)
		}
		return h(ctx, c, req)
	}
}

// OnNotification registers the handler of a notification. Notifications on the same connection are handled in
// order, so the handler must not block.
func OnNotification[Req any](m *Mux, method string, h func(*Conn, Req)) {
	m.notifications[method] = func(c *Conn, params json.RawMessage) {
		var req Req
		if json.Unmarshal(params, &req) == nil {
			h(c, req)
		}
	}
}

// OnStream registers the handler of a kind of stream message. Stream messages
// and notifications on the same connection are handled in order, so the handler
// must not block.
func OnStream[M any](m *Mux, kind byte, h func(*Conn, M)) {
	m.streams[kind] = func(c *Conn, data []byte) {
		var message M
		if msgpack.Unmarshal(data, &message) == nil {
			h(c, message)
		}
	}
}

// dispatchStream passes a stream message to its handler and ignores unknown kinds.
func (c *Conn) dispatchStream(kind byte, data []byte) {
	if h := c.mux.streams[kind]; h != nil {
		h(c, data)
	}
}

// Handle passes a JSON-RPC message to its handler.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		if h := c.mux.notifications[req.Method]; h != nil {
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
			c.replyError(ctx, req.ID, encodeError(err))
			return
		}
		// If the connection has ended, the reader detects it.
		_ = c.rpc.Reply(ctx, req.ID, result)
	})
}

func (c *Conn) replyError(ctx context.Context, id jsonrpc2.ID, e *jsonrpc2.Error) {
	// If the connection has ended, the reader detects it.
	_ = c.rpc.ReplyWithError(ctx, id, e)
}

// codeRefusal is the code of a JSON-RPC error whose data is a fault.Refusal.
const codeRefusal = 1

// encodeError converts an error to a JSON-RPC error, with the fault.Refusal as its data if err wraps one.
func encodeError(err error) *jsonrpc2.Error {
	var r *fault.Refusal
	if !errors.As(err, &r) {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: codeRefusal, Message: r.Message}
	e.SetError(r)
	return e
}

// decodeError returns the fault.Refusal that a JSON-RPC error carries, or the error itself if it carries none.
func decodeError(e *jsonrpc2.Error) error {
	if e.Code != codeRefusal || e.Data == nil {
		return e
	}
	var r fault.Refusal
	if json.Unmarshal(*e.Data, &r) != nil {
		return e
	}
	return &r
}
