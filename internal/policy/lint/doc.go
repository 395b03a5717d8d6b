// Package lint finds faults of an operator's document before it is submitted, and its differences from another version.
package lint
