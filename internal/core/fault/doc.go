// Package fault defines the error types that the system returns: refusals,
// validation errors, revision conflicts and unavailable platform services.
package fault
