// Package ports finds loopback ports for the processes that tests start.
package ports
