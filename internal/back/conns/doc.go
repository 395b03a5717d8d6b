// Package conns sends single HTTP requests to instances over connections of
// its own, so that nothing is ever sent twice without the caller's decision.
package conns
