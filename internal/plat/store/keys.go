package store

// The prefixes under which the system keeps its keys.
const (
	// StatePrefix holds the configuration that spreads to every node.
	StatePrefix = "foxtailcroft/state/"
	// AuditPrefix holds the audit records, bound to leases.
	AuditPrefix = "foxtailcroft/audit/"
	// ClaimPrefix holds the claim logs of idempotency keys.
	ClaimPrefix = "foxtailcroft/claims/"
	// PlannerPrefix holds the planner lease of each region.
	PlannerPrefix = "foxtailcroft/planner/"
)
