// Package follow maintains a local view of a site: the operator's document,
// the instances and the fronts, all at one store revision. It reads and watches
// the store, and falls back on other fronts while the store is unavailable.
package follow
