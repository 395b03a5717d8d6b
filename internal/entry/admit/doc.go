// Package admit bounds the requests that an entry carries at once.
package admit
