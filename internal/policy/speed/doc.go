// Package speed learns how fast servers read prompts of a model from the times
// until answers begin.
package speed
