package site

import "time"

// Key identifies one incarnation of an instance: a restart keeps the ID and changes Born.
type Key struct {
	ID string
	// Born is the start of the incarnation, as the instance announces it.
	Born int64
}

// Instance is a server of a service, as its announcement in the store describes it.
type Instance struct {
	Key
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving is true if the instance is draining.
	Leaving bool
	// ColdFor is how much longer the instance is slow because it has just started; 0 if it is warm.
	ColdFor time.Duration
	// Models are the loaded models; loaded adapters are not announced.
	Models []string
	// Seen is the store revision of the announcement.
	Seen int64
}

// Adapter identifies an adapter of a model; an empty Name means the model without an adapter.
type Adapter struct {
	Model string
	Name  string
}

// Report is the state that a model server reports when queried; it lags by some hundred milliseconds.
type Report struct {
	Born     int64
	Sequence int64
	// Busy is true while a model is being loaded or unloaded.
	Busy     bool
	Models   []string
	Adapters []Adapter
	// InMemory and OnDisk are the models whose weights the server has in main memory and on disk.
	InMemory   []string
	OnDisk     []string
	Running    int
	Waiting    int
	UsedTokens int
}

// Order asks a model server to load or unload a model or an adapter.
type Order struct {
	Unload bool
	Target Adapter
	// Holder is the front that holds the planner's lease, and Fence its fencing token.
	Holder string
	Fence  int64
	// Sequence is the number of orders that the server must have accepted so far; otherwise it rejects the order.
	Sequence int64
}

// Outcome is a model server's answer to an order.
type Outcome string

// The outcomes of an order. Moved means that another instance answered at the address;
// Unknown means that the order may have been carried out.
const (
	Accepted Outcome = "accepted"
	Holds    Outcome = "holds already"
	Conflict Outcome = "conflict"
	Fenced   Outcome = "fenced"
	Invalid  Outcome = "invalid"
	Moved    Outcome = "another instance"
	Unknown  Outcome = "unknown"
)
