// Package oddity lists answers that break the grammar of HTTP/1.1, and unusual ones that don't, for the tests of
// all readers of answers.
package oddity
