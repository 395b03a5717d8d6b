// Package stall learns how often the events of a stream pause for too long because
// the server reads other prompts in between.
package stall
