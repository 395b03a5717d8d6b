// Package conns sends single HTTP/1.1 requests to instances over its own
// connection pool, which, unlike net/http, never resends a request by itself.
package conns
