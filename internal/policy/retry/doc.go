// Package retry bounds the repeats of failed attempts.
package retry
