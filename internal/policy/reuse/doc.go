// Package reuse estimates how much of a prompt an instance still has in its prompt cache when it
// reads the prompt.
package reuse
