// Package retry implements retry budgets and limits for failed attempts.
package retry
