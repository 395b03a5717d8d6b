package speed

import (
	"math"
	"time"
)

const (
	// usual is the prompt tokens a millisecond before anything was learned: a 70B model on two accelerators.
	usual = 30.0
	// leastTokens is the size from which the reading decides when an answer begins.
	leastTokens = 1500
	// firstStep and lastStep bound how far, in natural logarithm, one time moves the estimate.
	firstStep = 0.4
	lastStep  = 0.03
)

// Reading is a running median of the prompt tokens that are read in a
// millisecond; its zero value knows nothing.
type Reading struct {
	// log is the natural logarithm of the estimate against the usual.
	log  float64
	seen int
}

// Time returns how long a number of prompt tokens takes to read.
func (r Reading) Time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / (usual * math.Exp(r.log)) * float64(time.Millisecond))
}

// With returns what is known after an answer to a prompt of a size began after
// a time; short prompts tell nothing.
func (r Reading) With(tokens int, took time.Duration) Reading {
	if tokens < leastTokens || took <= 0 {
		return r
	}
	step := max(lastStep, firstStep/float64(1+r.seen))
	if took > r.Time(tokens) {
		step = -step
	}
	return Reading{log: r.log + step, seen: r.seen + 1}
}
