// Package tree is the supervisor of a process's parts: it starts each in a group, restarts or gives up, and closes in reverse order.
package tree
