// Package memory bounds the memory that a process holds for its callers and servers.
package memory
