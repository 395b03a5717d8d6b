// Package fanout distributes configuration to all nodes. In each failure domain a few root nodes watch
// the store, and every other node pulls from two relays in a tree below them.
package fanout
