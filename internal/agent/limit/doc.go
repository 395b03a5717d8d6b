// Package limit limits the number of concurrent calls at a plain service's endpoint.
package limit
