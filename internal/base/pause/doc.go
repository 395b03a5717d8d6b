// Package pause waits for a time or for a context's end.
package pause
