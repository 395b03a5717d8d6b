// Package queue holds the requests that wait at an agent, ordered by class without starvation.
package queue
