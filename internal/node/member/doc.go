// Package member provides what entries and agents share: peer connections, configuration and the
// registration of the node.
package member
