package site

import "time"

// InstanceKey identifies one incarnation of an instance: a restart keeps the ID and changes Born.
type InstanceKey struct {
	ID string
	// Born is the start of the incarnation, as the instance announces it.
	Born int64
}

// Instance is a server of a service, as its announcement in the store describes it.
type Instance struct {
	InstanceKey
	Service string
	Address string
	Domain  string
	// Version is the version of the instance's software, empty if it is unknown. Unknown versions are not
	// equal to each other.
	Version string
	// ConcurrentRequests bounds the concurrent requests of the instance.
	ConcurrentRequests int
	// Draining is true if the instance has announced that it is draining; it gets no new requests or orders.
	Draining bool
	// WarmUpLeft is how much longer the instance is slow because it has just started; 0 if it is warm.
	WarmUpLeft time.Duration
	// Models are the loaded models; loaded adapters are not announced.
	Models []string
	// Revision is the store revision of the announcement, 0 if there is none.
	Revision int64
}

// Target identifies an adapter of a model; an empty Name means the model without an adapter.
type Target struct {
	Model string
	Name  string
}

// ServerReport is the state that a model server reports when queried; it lags by some hundred milliseconds.
type ServerReport struct {
	Born int64
	// Sequence is the number of orders that the server has accepted.
	Sequence int64
	// Busy is true while a model is being loaded or unloaded.
	Busy     bool
	Models   []string
	Adapters []Target
	// InMemory and OnDisk are the models whose weights the server has in main memory and on disk.
	InMemory []string
	OnDisk   []string
	// Running and Waiting count requests. UsedTokens is the used part of the key-value cache.
	Running    int
	Waiting    int
	UsedTokens int
}

// Order asks a model server to load or unload a model or an adapter.
type Order struct {
	Unload bool
	Target Target
	// Holder is the front that holds the planner's lease, and Fence its fencing token.
	Holder string
	Fence  int64
	// Sequence is the number of orders that the server must have accepted so far; otherwise it rejects the order.
	Sequence int64
}

// OrderOutcome is a model server's answer to an order.
type OrderOutcome string

// The outcomes of an order. OtherInstance means that another instance answered at the
// address; Unknown means that the order may have been carried out.
const (
	Accepted      OrderOutcome = "accepted"
	AlreadyDone   OrderOutcome = "holds already"
	Conflict      OrderOutcome = "conflict"
	Fenced        OrderOutcome = "fenced"
	Invalid       OrderOutcome = "invalid"
	OtherInstance OrderOutcome = "another instance"
	Unknown       OrderOutcome = "unknown"
)
