// Package copies is a faulty back end for tests: it sends responses a second time.
package copies
