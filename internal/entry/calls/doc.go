// Package calls dispatches requests: it sends attempts to endpoints, collects
// their answers, retries within a budget, and determines before the caller's
// deadline whether an unanswered attempt may have run.
package calls
