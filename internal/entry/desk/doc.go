// Package desk grants the permits of a region's weight store loads at one entry.
package desk
