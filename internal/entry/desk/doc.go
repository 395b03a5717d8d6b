// Package desk grants the permits of a region's weight store loads at one entry, and asks for them at an agent.
package desk
