// Package member is what entries and agents have in common: connections, configuration, and the node's own record.
package member
