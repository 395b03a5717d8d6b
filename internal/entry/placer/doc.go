// Package placer implements the planner: the entry that holds the planner's
// lease assigns each model's slots and each service's claim partitions to
// endpoints.
package placer
