// Package crew is a group of goroutines that can be closed while others still try to start more.
package crew
