// Package speed estimates the prefill speed of a model from the times to first token.
package speed
