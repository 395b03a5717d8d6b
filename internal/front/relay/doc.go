// Package relay takes callers' requests to instances and their answers back:
// each request ends in one whole answer of an instance or an honest refusal.
package relay
