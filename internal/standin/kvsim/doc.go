// Package kvsim is a stand-in for the platform: an in-memory key-value store with
// leases and watches, and the instance list, both with fault switches.
package kvsim
