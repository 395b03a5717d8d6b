// Package retry implements retry budgets and limits for failed attempts, and the pauses between calls
// to a service that fails.
package retry
