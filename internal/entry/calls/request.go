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
	// AnswerMemory is charged for the answer of a plain call, which is held until it is whole; nil doesn't.
	AnswerMemory AnswerMemory
}

// AnswerMemory is the memory of one answer.
type AnswerMemory interface {
	// TryGrow charges n more bytes if they fit, and reports whether it did.
	TryGrow(n int64) bool
	// Grow charges n more bytes, for which unfinished bodies may give way; it waits for them. An error means
	// that there is no memory now.
	Grow(n int64) error
	// Release gives back n bytes.
	Release(n int64)
	// Limit returns the most that one answer may hold.
	Limit() int64
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
