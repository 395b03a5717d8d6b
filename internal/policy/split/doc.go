// Package split divides the servers of a model between long and short prompts,
// because streams pause while a server reads a long prompt beside them.
package split
