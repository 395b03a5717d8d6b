// Package pipes is a network in memory for tests in virtual time.
package pipes
