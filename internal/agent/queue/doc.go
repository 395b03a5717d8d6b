// Package queue holds the requests that wait at an agent, ordered by class without starving any.
package queue
