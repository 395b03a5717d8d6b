// Package memnet provides an in-memory network of net.Pipe connections for
// tests and simulations that run in virtual time.
package memnet
