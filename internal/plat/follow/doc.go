// Package follow keeps a process' view of a site — the operator's document,
// the instances and the other fronts — at the store's revision, from the store
// or, while that is away, from other fronts.
package follow
