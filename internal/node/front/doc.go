// Package front assembles the front process, which accepts callers' requests: the
// callers' listener, the replicated state of the deployment, the planner, and the
// messages between fronts.
package front
