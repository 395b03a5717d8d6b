// Package peers contains the protocol between fronts: they ask each other for newer
// cluster state, and the planner for instances that serve a model, and report usage
// to the planner.
package peers
