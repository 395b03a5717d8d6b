// Package begun remembers at which versions of instances streams began, shares that between fronts by
// records in the store while several versions are in play, and tells where streams may go on.
package begun
