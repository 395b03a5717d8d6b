package wire

import (
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
)

// Names of the methods of calls and notifications.
const (
	// MethodPart sends a part of a request body ahead of its Run.
	MethodPart = "Part"
	// MethodRun starts an attempt, or attaches to it if the agent already has it.
	MethodRun = "Run"
	// MethodRevoke ends an attempt and returns whether it may have run.
	MethodRevoke = "Revoke"
	// MethodDone marks the end of an answer.
	MethodDone = "Done"
	// MethodAck confirms receipt of an answer, so that the agent can discard it.
	MethodAck = "Ack"
	// MethodSync requests the configuration changes after a revision.
	MethodSync = "Sync"
	// MethodLeaving announces that the sender accepts no new work.
	MethodLeaving = "Leaving"
	// MethodReport requests an agent's state.
	MethodReport = "Report"
	// MethodRelease requests an agent's confirmation that a slot is released.
	MethodRelease = "Release"
	// MethodApplied requests the revisions in force on a relay and the nodes below it.
	MethodApplied = "Applied"
	// MethodPermit requests or returns a permit to load from the weight store.
	MethodPermit = "Permit"
)

// StreamKindPiece is the kind of stream message that carries a Piece.
const StreamKindPiece byte = 1

// MaxPartBytes is the size in bytes of the parts that a request body is split into.
const MaxPartBytes = 64 << 10

// Part is a part of a request body. A part at offset 0 restarts the body.
type Part struct {
	Attempt string
	Offset  int
	Data    []byte
}

// Run starts an attempt. If the agent already has an attempt with this ID, Run attaches to it instead.
type Run struct {
	// Attempt is the ID of the attempt, Request the ID of the caller's request.
	Attempt string
	Request string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	Class     kinds.Class
	// Model and Adapter name what generates the answer. For a call of a plain service, Service is set instead.
	Model   string     `json:",omitempty"`
	Adapter string     `json:",omitempty"`
	Service string     `json:",omitempty"`
	Plain   *PlainCall `json:",omitempty"`
	// Key is the caller's idempotency key, scoped to its account by ScopeKey; empty if there is none.
	Key    string `json:",omitempty"`
	Resume Resume `json:",omitzero"`
	// BodyBytes is the total size of the body, whose parts are sent before the Run.
	BodyBytes int
	// Epoch is the agent's epoch as known to the sender. Resent is true if an earlier send may have arrived.
	Epoch  int64
	Resent bool
	// From is the number of answer pieces that the sender already received.
	From int
	// Revision is the sender's configuration revision.
	Revision int64
	// Final is true if the sender has no other endpoint to try, so a redirect is of no use.
	Final bool
}

// Resume holds the tokens that an earlier attempt delivered, after which generation continues.
type Resume struct {
	Tokens int
	Text   string
}

// PlainCall is a call of a plain service without its body.
type PlainCall struct {
	Method     string
	Path       string
	Query      string
	Header     map[string][]string
	Idempotent bool
	// Partition is the claim log partition of the idempotency key.
	Partition int
}

// RunReply accepts an attempt, or refuses it if Refusal is set. Load, Revision and Epoch are those of the agent.
type RunReply struct {
	Refusal  *fault.Refusal `json:",omitempty"`
	Load     Load
	Revision int64
	Epoch    int64
}

// Load is an agent's load for one model or service, sent with every reply.
type Load struct {
	Loaded bool
	// Running and Queued are numbers of requests. Capacity is the maximum of Running.
	Running  int
	Queued   int
	Capacity int
	// Service is the mean service time of a request.
	Service time.Duration
	// Cold is the expected load time.
	Cold time.Duration
}

// Piece is a part of an answer. Seq counts from 0 without gaps.
type Piece struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  string
	Seq      int
	// Tokens is the number of tokens in Data; 0 for a plain service's bytes.
	Tokens int
	Data   []byte
	// Head is set on the first piece of a plain service's answer.
	Head *PlainHead `json:",omitempty"`
}

// PlainHead is the status and header of a plain service's answer.
type PlainHead struct {
	Status int
	Header map[string][]string
}

// Done marks the end of an answer. Either Refusal is set, or Pieces pieces were sent and Digest is the
// digest of their data.
type Done struct {
	Attempt string
	Pieces  int
	Digest  uint64
	Refusal *fault.Refusal `json:",omitempty"`
	// Finish is the engine's finish reason.
	Finish string
	// Wait is the time to first token. Cold is true if it included a load.
	Wait time.Duration
	Cold bool
	// Replayed is true for a stored answer to an earlier call with the same idempotency key.
	Replayed bool
	Load     Load
	Revision int64
}

// Revoke ends an attempt.
type Revoke struct {
	Attempt string
	// Epoch is the epoch of the agent that the attempt was sent to.
	Epoch int64
}

// RevokeReply tells whether the attempt may have run.
type RevokeReply struct {
	// NotRun is true if the attempt did not run and never will.
	NotRun bool
}

// Ack confirms receipt of an answer, so that the agent can discard it.
type Ack struct {
	Attempt string
}

// Sync requests the configuration changes after revision Since.
type Sync struct {
	Since int64
	// Cursor is the revision of the last entry of the previous page; 0 requests the first page.
	Cursor int64
	// Wait is how long the reply may be delayed while there is nothing newer.
	Wait time.Duration
	// Node is the name of the follower; empty if the relay should not record one.
	Node string
	// Applied is the revision that the node has in force.
	Applied int64
	// Parent is 0 if the receiver is the node's first relay, 1 if its second.
	Parent int
	// Relays is true if other nodes follow the node.
	Relays bool
}

// SyncReply is a page of configuration.
type SyncReply struct {
	Delta view.Delta
	// More is true if another page follows, to be requested with Cursor.
	More   bool
	Cursor int64
}

// Leaving announces that a node accepts no new work.
type Leaving struct {
	Node  string
	Epoch int64
}

// Applied holds the revisions in force on a relay and on the nodes below it, by node name.
type Applied struct {
	Nodes map[string]int64
}

// Release requests confirmation that slot Number of a model is released under a plan at least as new as Revision.
type Release struct {
	Model    string
	Number   int64
	Revision int64
}

// ReleaseReply tells whether the slot is released and, if not, the reason.
type ReleaseReply struct {
	Released bool
	Reason   string
}

// Report is an agent's state for operators and the planner.
type Report struct {
	Node     string
	Epoch    int64
	Revision int64
	Leaving  bool
	// MemoryBytes is the size of the accelerator memory, UsedBytes the memory of all items that
	// are or may be in the engine; both are 0 for a plain service.
	MemoryBytes int64
	UsedBytes   int64
	Items       []Item
	// Cached maps each checkpoint cached at the endpoint to where it is: memory or disk.
	Cached map[string]string `json:",omitempty"`
	// Queued is the number of waiting requests.
	Queued int
}

// Item is the state of one model or adapter at an endpoint.
type Item struct {
	Model   string
	Adapter string `json:",omitempty"`
	Version string
	State   string
	Bytes   int64
	Running int
	Queued  int
	// LastUsed is when a request last ended, LastWake when the last load started. Loads is the number of
	// loads, Idle the total time loaded without a request, and ColdP99 the 99th percentile of recent load
	// times; 0 for none.
	LastUsed time.Time
	LastWake time.Time
	Loads    int64
	Idle     time.Duration
	ColdP99  time.Duration
}

// Permit requests a permit to load from the weight store, or returns it if Done is set.
type Permit struct {
	Node string
	// Item names what is to be loaded; Adapter is true if it is an adapter.
	Item    string
	Adapter bool
	// Remaining is the time until the earliest deadline of the waiting requests.
	Remaining time.Duration
	Class     kinds.Class
	// Done returns the permit.
	Done bool
}

// PermitReply tells whether the permit was granted.
type PermitReply struct {
	Granted bool
}
