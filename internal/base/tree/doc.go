// Package tree supervises the goroutines of a process: it restarts those that end or
// stops the process, and runs clean-ups in reverse order at shutdown.
package tree
