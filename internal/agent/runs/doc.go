// Package runs is the registry of an agent's attempts: which ran, which were
// revoked, and the answers that are not yet acknowledged.
package runs
