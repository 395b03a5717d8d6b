// Package fade holds event counts and peak durations that decay exponentially with time.
package fade
