// Package cause classifies the request log lines of fronts by outcome, and by the reason why a request was not
// served in time.
package cause
