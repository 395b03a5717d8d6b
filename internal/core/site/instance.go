package site

import "time"

// Key identifies one incarnation of an instance; a restart under the same id has another key.
type Key struct {
	ID   string
	Born int64
}

// Instance is a back end as it describes itself.
type Instance struct {
	Key
	Service string
	Address string
	Domain  string
	Slots   int
	Leaving bool
	// ColdFor is how long the instance stays slow after its start.
	ColdFor time.Duration
	// Models are the models that the instance has loaded; adapters are not announced.
	Models []string
	// Seen is the store revision of the announcement.
	Seen int64
}

// Adapter names an adapter of a model; an empty Name means the bare model.
type Adapter struct {
	Model string
	Name  string
}

// Report is a model server's state on request; it lags by some hundred milliseconds.
type Report struct {
	Born     int64
	Sequence int64
	// Busy is true while a model is being loaded or unloaded.
	Busy       bool
	Models     []string
	Adapters   []Adapter
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
	Holder string
	Fence  int64
	// Sequence is the number of orders that the server must have accepted before.
	Sequence int64
}

// Outcome is how a server answered an order.
type Outcome string

// The outcomes of an order.
const (
	Accepted Outcome = "accepted"
	Holds    Outcome = "holds already"
	Conflict Outcome = "conflict"
	Fenced   Outcome = "fenced"
	Invalid  Outcome = "invalid"
	Moved    Outcome = "another instance"
	Unknown  Outcome = "unknown"
)
