// Package remote is a client of the operator API of entries.
package remote
