// Package place decides on which endpoints a model's slots lie.
package place
