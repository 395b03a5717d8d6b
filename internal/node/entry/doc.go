// Package entry assembles an entry: the callers' and operators' APIs, routing, and the planner when it holds the lease.
package entry
