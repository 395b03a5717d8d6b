// Package kept follows which prompt parts instances keep in their caches. Each front polls the
// events of the instances that rendezvous hashing assigns to it, and passes on what it learns
// with its usage reports; the planner returns what other fronts have learned.
package kept
