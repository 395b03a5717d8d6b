// Package cause reads fronts' log lines and tells what became of requests,
// and of those that were not served in time, why.
package cause
