// Package remote is the client of the operators' API.
package remote
