// Package traces generates synthetic request workloads for the users'
// deployments; the same seed gives the same workload.
package traces
