// Package pick chooses the replica for a request and forecasts queueing, to widen
// to further replicas and to reject requests that would miss their deadline.
package pick
