// Package replay is a discrete-event simulation that runs a workload under a
// keep-alive policy, with the production placement, load admission and eviction
// policies, and reports cold starts, idle time and cost.
package replay
