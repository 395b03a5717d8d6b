// Package flows generates request workloads of the users' deployments, the same for the same seed.
package flows
