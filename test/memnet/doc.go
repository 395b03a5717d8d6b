// Package memnet is a network in memory for tests in virtual time.
package memnet
