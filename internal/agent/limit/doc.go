// Package limit bounds the number of concurrent calls at a plain service's endpoint.
package limit
