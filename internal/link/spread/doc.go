// Package spread brings configuration to every node: relays watch the store, and all other nodes follow two relays.
package spread
