// Package calls carries a request to its end: it sends attempts to endpoints,
// collects their answers, and settles what became of each before the caller's
// deadline.
package calls
