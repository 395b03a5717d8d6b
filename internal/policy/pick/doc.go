// Package pick chooses the replica for a request and forecasts queueing, to forward
// requests to further slots and to reject requests that would miss their deadline.
package pick
