// Package serve is an HTTP server that answers each request it runs, also while it stops.
package serve
