// Package bucket limits a rate by a bucket of tokens.
package bucket
