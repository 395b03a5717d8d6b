package retry

import "time"

const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 6
	// ratio is how many repeats each first attempt earns.
	ratio = 0.2
	// burst bounds the repeats saved up.
	burst = 50
)

// Budget lets repeats be at most a share of first attempts, so that repeats
// cannot keep an overloaded system overloaded.
type Budget struct {
	Saved float64
}

// NewBudget returns a full budget.
func NewBudget() Budget {
	return Budget{Saved: burst}
}

// Earned returns the budget after a first attempt.
func (b Budget) Earned() Budget {
	return Budget{Saved: min(burst, b.Saved+ratio)}
}

// Spent returns the budget after a repeat; ok is false if none is left.
func (b Budget) Spent() (Budget, bool) {
	if b.Saved < 1 {
		return b, false
	}
	return Budget{Saved: b.Saved - 1}, true
}

const (
	minMargin   = 40 * time.Millisecond
	maxMargin   = 400 * time.Millisecond
	marginShare = 20
)

// Margin returns how long before the caller's deadline a request is settled, so that its end reaches the caller in time.
func Margin(timeout time.Duration) time.Duration {
	return min(maxMargin, max(minMargin, timeout/marginShare))
}
