// Package trial runs a workload through the policies in simulated time and sums what the users measure.
package trial
