package store

// Key prefixes in the store.
const (
	// StatePrefix holds the configuration that is distributed to every node.
	StatePrefix = "foxtailcroft/state/"
	// AuditPrefix holds the audit records, which expire with their leases.
	AuditPrefix = "foxtailcroft/audit/"
	// ClaimPrefix holds the claim logs of idempotency keys.
	ClaimPrefix = "foxtailcroft/claims/"
	// PlannerPrefix holds the planner lease of each region.
	PlannerPrefix = "foxtailcroft/planner/"
)
