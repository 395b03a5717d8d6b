// Package loads estimates how many concurrent loads a weight store serves at full
// speed, for stores that slow down every load when there are too many.
package loads
