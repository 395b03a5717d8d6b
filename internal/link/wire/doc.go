// Package wire defines the messages between the system's processes.
package wire
