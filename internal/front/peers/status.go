package peers

import (
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/plat/follow"
)

// ServerLoad is the load of an instance in its last report.
type ServerLoad struct {
	Instance site.InstanceKey
	// Requests is the number of running and waiting requests.
	Requests int
	// Age is the age of the report.
	Age time.Duration
	// Pause is the longest pause in a stream at the instance at its usual speed, decaying over time.
	Pause time.Duration
	// UsedTokens is the used memory for running requests and kept prompts; 0 if not known.
	UsedTokens int `json:",omitempty"`
}

// PlannerStatus is the planner's reply to a usage report: the load of the busiest
// servers, and what a successor would otherwise have to learn again.
type PlannerStatus struct {
	// Run is that of the planner's process, which may have restarted under the same fencing token.
	Run   string
	Loads []ServerLoad
	// Limits are the limits that instances have named or lifted recently.
	Limits []InstanceLimit
	// StoreLoads is how many loads from the weight store run at full speed concurrently.
	StoreLoads int
	// Pending are the model loads in progress.
	Pending []PendingLoad
	// Unanswered are the orders without an answer that no report has settled.
	Unanswered []UnansweredOrder `json:",omitempty"`
	// PauseFactor relates the servers' utilization to pauses in their streams (policy/stall).
	PauseFactor float64
	// LongShare is the share of a model's servers that get long prompts (policy/split).
	LongShare float64
	// Leaving are the instances that have said in answers that they leave.
	Leaving  []site.InstanceKey
	Evidence EvidenceReply
	// Successors are those that the planner has learned of after the cursor in the report.
	Successors     []follow.Successor
	SuccessorsNext follow.Cursor
	// Kept is nil where the report had none.
	Kept *KeptReply `json:",omitempty"`
}

// PendingLoad is a model that an instance is loading; In is the expected time until it
// is ready.
type PendingLoad struct {
	Instance site.InstanceKey
	Model    string
	In       time.Duration
	// Ahead is set if no request waited for the model when the load was ordered.
	Ahead bool `json:",omitempty"`
}

// UnansweredOrder is an order that the server may have carried out, or may still carry out.
type UnansweredOrder struct {
	Instance site.InstanceKey
	Unload   bool `json:",omitempty"`
	Target   site.Target
	// Sequence is the number of orders with which the server carries it out.
	Sequence int64
	// Age is the time since it was sent.
	Age time.Duration
}
