// Package orders is the planner: the one front that holds the lease in the
// store gives orders to model servers, under the fencing number of the lease
// and the number of orders that each server has accepted, so that a late or
// foreign order is refused by the server.
package orders
