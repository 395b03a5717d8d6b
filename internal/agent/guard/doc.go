// Package guard notices that an agent was paused and confirms its epoch before its next order.
package guard
