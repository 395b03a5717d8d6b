// Package conns sends single HTTP/1.1 requests to instances over its own
// connection pool. Unlike net/http, it never resends a request by itself, so
// that only the caller decides whether a request may run twice.
package conns
