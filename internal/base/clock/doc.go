// Package clock reads clocks that the standard library does not.
package clock
