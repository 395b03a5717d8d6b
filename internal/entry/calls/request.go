package calls

import (
	"time"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/route"
	"foxtailcroft/internal/link/wire"
)

// Request is one caller's request.
type Request struct {
	ID       string
	Class    kinds.Class
	Deadline time.Time
	Target   route.Target
	Adapter  string
	// Plain is set for calls of plain services.
	Plain *wire.PlainCall
	Key   string
	Body  []byte
}

// idempotent reports whether the request may be attempted again after one attempt may have run.
func (r Request) idempotent() bool {
	return r.Plain == nil || r.Plain.Idempotent
}

// Sink receives an answer in order, each piece once.
type Sink interface {
	// Piece passes on a piece; an error means that the caller has gone.
	Piece(p wire.Piece) error
}

// Result tells how a whole answer came about.
type Result struct {
	Finish   string
	Endpoint string
	Attempts int
	// Cold is true if the request waited for a load.
	Cold     bool
	Replayed bool
}
