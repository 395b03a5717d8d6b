// Package fault defines the typed errors of the system: refusals, unknown outcomes, field errors and conflicts.
package fault
