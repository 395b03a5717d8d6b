// Package gate bounds the calls that run at once on a plain service's endpoint.
package gate
