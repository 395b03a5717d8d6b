// Package tasks provides a goroutine group that can be closed while other goroutines still start new ones in it.
package tasks
