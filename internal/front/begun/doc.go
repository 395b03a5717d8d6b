// Package begun remembers at which versions of instances streams began, and which versions are in play, and
// tells where streams may go on.
package begun
