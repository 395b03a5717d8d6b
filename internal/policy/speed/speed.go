package speed

import (
	"math"
	"time"
)

const (
	// defaultTokensPerMs is the prefill speed before the first observation: that of a 70B model on two accelerators.
	defaultTokensPerMs = 30.0
	// minTokens is the prompt length from which prefill dominates the time to first token.
	minTokens = 1500
	// maxStep and minStep are the first and the smallest change of the estimate's natural logarithm by one observation.
	maxStep = 0.4
	minStep = 0.03
)

// Prefill is a running median of the prefill speed in tokens per millisecond;
// the zero value has no observations.
type Prefill struct {
	// logRatio is the natural logarithm of the ratio of the estimate to defaultTokensPerMs.
	logRatio float64
	samples  int
}

// Duration returns the estimated prefill time of the number of prompt tokens, by
// defaultTokensPerMs before the first observation.
func (r Prefill) Duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / (defaultTokensPerMs * math.Exp(r.logRatio)) * float64(time.Millisecond))
}

// Add returns the estimate updated with the time to first token of a prompt of
// the given length. It ignores prompts shorter than minTokens and times that are
// not positive.
func (r Prefill) Add(tokens int, took time.Duration) Prefill {
	if tokens < minTokens || took <= 0 {
		return r
	}
	step := max(minStep, maxStep/float64(1+r.samples))
	if took > r.Duration(tokens) {
		step = -step
	}
	return Prefill{logRatio: r.logRatio + step, samples: r.samples + 1}
}
