// Package admit limits the number of requests that an entry has in flight, by priority class.
package admit
