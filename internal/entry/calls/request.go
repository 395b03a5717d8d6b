package calls

import (
	"time"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/wire"
)

// Request is one request of a caller, parsed and checked.
type Request struct {
	ID string
	// Account is the name of the caller's account, empty without accounts.
	Account  string
	Class    kinds.Class
	Deadline time.Time
	Target   route.Target
	// Adapter is the adapter that the request needs, empty for none.
	Adapter string
	// PlainCall is set for calls of plain services, and nil for chat completions.
	PlainCall *wire.PlainCall
	// IdempotencyKey is empty unless the call's method isn't idempotent and the caller sent a key.
	IdempotencyKey string
	Body           []byte
}

// idempotent reports whether the request may be sent again after an attempt that may have run.
func (r Request) idempotent() bool {
	return r.PlainCall == nil || r.PlainCall.Idempotent
}

// Sink receives the pieces of an answer, in order and each once.
type Sink interface {
	// WritePiece passes a piece to the caller; an error means that the caller has gone.
	WritePiece(p wire.Piece) error
}

// Result describes how a request was answered.
type Result struct {
	FinishReason string
	Endpoint     string
	Attempts     int
	// ColdStart is true if the request waited for its model to load.
	ColdStart bool
	// Replayed is true if the answer was recorded earlier for the same idempotency key.
	Replayed bool
}
