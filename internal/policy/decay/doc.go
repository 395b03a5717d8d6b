// Package decay holds event counts and peak durations that decay exponentially with time.
package decay
