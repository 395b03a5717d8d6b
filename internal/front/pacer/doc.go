// Package pacer keeps the requests of all fronts to an instance within the rate that
// the instance takes. One front keeps the schedule of an instance, and the others ask it.
package pacer
