// Package resets serves answers over loopback sockets that it then resets, as what a reset does to a
// connection that is being written is decided by the kernel.
package resets
