package wire

import (
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
)

// The methods of calls and notifications.
const (
	// MethodPart carries a piece of a request's body ahead of its Run.
	MethodPart = "Part"
	// MethodRun starts an attempt, or attaches to it if it is known.
	MethodRun = "Run"
	// MethodRevoke ends an attempt and says whether it had run.
	MethodRevoke = "Revoke"
	// MethodDone closes an answer.
	MethodDone = "Done"
	// MethodAck lets the agent forget an answer.
	MethodAck = "Ack"
	// MethodSync asks for configuration newer than a revision.
	MethodSync = "Sync"
	// MethodLeaving says that the sender takes no new work.
	MethodLeaving = "Leaving"
	// MethodReport asks an agent for its state.
	MethodReport = "Report"
	// MethodRelease asks an agent to confirm that a slot is released.
	MethodRelease = "Release"
	// MethodApplied asks a relay which revisions its followers have in force.
	MethodApplied = "Applied"
	// MethodPermit asks for the right to load from the weight store.
	MethodPermit = "Permit"
)

// StreamPiece is the kind of the stream messages that carry a Piece.
const StreamPiece byte = 1

// PartBytes is the size of the pieces in which bodies travel.
const PartBytes = 64 << 10

// Part is a piece of a request's body; one at offset 0 begins the body anew.
type Part struct {
	Attempt string
	Offset  int
	Data    []byte
}

// Run starts an attempt. A Run with the id of a known attempt attaches to it instead.
type Run struct {
	Attempt string
	Request string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	Class     kinds.Class
	// Model and Adapter name what generates; Service names a plain service instead.
	Model   string     `json:",omitempty"`
	Adapter string     `json:",omitempty"`
	Service string     `json:",omitempty"`
	Plain   *PlainCall `json:",omitempty"`
	Key     string     `json:",omitempty"`
	Resume  Resume     `json:",omitzero"`
	// BodyBytes is the total size of the parts sent ahead.
	BodyBytes int
	// Epoch is the agent's epoch that the sender believes in; Resent says that an earlier send may have arrived.
	Epoch  int64
	Resent bool
	// From is the number of pieces that the sender already has.
	From int
	// Revision is the configuration that the sender acts on.
	Revision int64
	// Final forbids a redirect: the sender has nowhere else to go.
	Final bool
}

// Resume continues a generation after the tokens that another attempt delivered.
type Resume struct {
	Tokens int
	Text   string
}

// PlainCall is a call of a plain service but its body.
type PlainCall struct {
	Method     string
	Path       string
	Query      string
	Header     map[string][]string
	Idempotent bool
	// Partition is the claim log that the key belongs to.
	Partition int
}

// RunReply accepts or refuses an attempt.
type RunReply struct {
	Refusal  *fault.Refusal `json:",omitempty"`
	Load     Load
	Revision int64
	Epoch    int64
}

// Load is what an agent tells of one model or service with every reply.
type Load struct {
	Loaded bool
	// Running and Queued count requests; Capacity is how many run at once.
	Running  int
	Queued   int
	Capacity int
	// Service is the mean time of one request.
	Service time.Duration
	// Cold is the expected time of a load.
	Cold time.Duration
}

// Piece is a part of an answer; Seq counts from 0 without gaps.
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

// Done closes an answer: either all Pieces were sent and their data has the digest, or Refusal says why not.
type Done struct {
	Attempt string
	Pieces  int
	Digest  uint64
	Refusal *fault.Refusal `json:",omitempty"`
	// Finish is the engine's finish reason.
	Finish string
	// Wait is the time until the first token, Cold whether it included a load.
	Wait time.Duration
	Cold bool
	// Replayed is true for an answer kept under an idempotency key.
	Replayed bool
	Load     Load
	Revision int64
}

// Revoke ends an attempt.
type Revoke struct {
	Attempt string
	// Epoch is the agent's epoch that the attempt was sent to.
	Epoch int64
}

// RevokeReply says whether the attempt can have run.
type RevokeReply struct {
	// NotRun is true if the attempt did not run and never will.
	NotRun bool
}

// Ack lets the agent forget an answer.
type Ack struct {
	Attempt string
}

// Sync asks for configuration newer than Since.
type Sync struct {
	Since int64
	// Cursor is the revision up to which earlier pages of a full answer came.
	Cursor int64
	// Wait is how long the reply may be held back while there is nothing newer.
	Wait time.Duration
	Node string
	// Applied is the revision that the node has in force.
	Applied int64
	// Parent is 0 if the receiver is the node's first relay, 1 if its second.
	Parent int
	// Relays says that other nodes follow the node.
	Relays bool
}

// SyncReply is a page of configuration.
type SyncReply struct {
	Delta view.Delta
	// More says that the next page follows at Cursor.
	More   bool
	Cursor int64
}

// Leaving names a node that takes no new work.
type Leaving struct {
	Node  string
	Epoch int64
}

// Applied lists the revisions that a relay and the nodes below it have in force.
type Applied struct {
	Nodes map[string]int64
}

// Release asks for confirmation that a slot is released under a plan at least as new as Revision.
type Release struct {
	Model    string
	Number   int64
	Revision int64
}

// ReleaseReply confirms a release.
type ReleaseReply struct {
	Released bool
	Reason   string
}

// Report is an agent's state for operators and the planner.
type Report struct {
	Node        string
	Epoch       int64
	Revision    int64
	Leaving     bool
	MemoryBytes int64
	UsedBytes   int64
	Items       []Item
	// Cached lists the checkpoints that the endpoint has near: memory, disk.
	Cached map[string]string `json:",omitempty"`
	Queued int
}

// Item is one model or adapter at an endpoint.
type Item struct {
	Model   string
	Adapter string `json:",omitempty"`
	Version string
	State   string
	Bytes   int64
	Running int
	Queued  int
	// LastUsed is when a request last ended; Loads counts loads, Idle sums loaded time without a request.
	LastUsed time.Time
	LastWake time.Time
	Loads    int64
	Idle     time.Duration
	ColdP99  time.Duration
}

// Permit asks for the right to load from the weight store.
type Permit struct {
	Node    string
	Item    string
	Adapter bool
	// Remaining is the time until the most urgent waiter's deadline.
	Remaining time.Duration
	Class     kinds.Class
	// Done gives the permit back.
	Done bool
}

// PermitReply grants a permit.
type PermitReply struct {
	Granted bool
}
