// Package clock reads system clocks that the standard library does not offer.
package clock
