// Package check sends a set of example requests through a deployment's entries and judges how each ends.
package check
