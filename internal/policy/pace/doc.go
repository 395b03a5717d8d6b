// Package pace spaces the requests to an instance that takes a limited number a second.
package pace
