// Package route tracks the load and reachability of the endpoints that an entry
// sends to, and picks one for each request.
package route
