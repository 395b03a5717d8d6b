// Package route keeps what an entry knows of the endpoints that it sends to, and picks one for each request.
package route
