// Package front assembles the front process: callers' listener, the view of
// the site, the planner, and what fronts tell one another.
package front
