// Package check sends example requests through the entries of a deployment and checks their outcomes.
package check
