// Package fleet is a client of the platform's instance list, which is eventually consistent.
package fleet
