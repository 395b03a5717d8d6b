// Package wire defines the messages that the processes exchange: method names and their parameters and replies.
package wire
