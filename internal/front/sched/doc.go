// Package sched contains the planner and its leader election. The front that
// holds the planner's key in the store sends load and unload orders to model
// servers. Each order carries the fencing token and the server's sequence number
// (the count of orders it has accepted), so that a server can reject delayed
// orders and orders of a deposed planner.
package sched
