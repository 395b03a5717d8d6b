package retry

import "time"

const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 6
	// retriesPerAttempt is the number of retries that each first attempt adds to the budget.
	retriesPerAttempt = 0.2
	// maxSavedRetries bounds the retries saved up in the budget.
	maxSavedRetries = 50
)

// Budget is a retry budget: it limits retries to a share of the first attempts,
// so that retries can't keep an overloaded system overloaded.
type Budget struct {
	// Saved is the number of retries left; a retry needs a whole one.
	Saved float64
}

// NewBudget returns a full budget.
func NewBudget() Budget {
	return Budget{Saved: maxSavedRetries}
}

// Earned returns the budget increased by a first attempt.
func (b Budget) Earned() Budget {
	return Budget{Saved: min(maxSavedRetries, b.Saved+retriesPerAttempt)}
}

// Spent returns the budget reduced by a retry, or false if none is left.
func (b Budget) Spent() (Budget, bool) {
	if b.Saved < 1 {
		return b, false
	}
	return Budget{Saved: b.Saved - 1}, true
}

const (
	// minMargin and maxMargin bound the margin, which is otherwise the timeout divided by marginDivisor.
	minMargin     = 40 * time.Millisecond
	maxMargin     = 400 * time.Millisecond
	marginDivisor = 20
)

// DeadlineMargin returns how long before the caller's deadline a request must have its
// final outcome, so that the answer reaches the caller in time.
func DeadlineMargin(timeout time.Duration) time.Duration {
	return min(maxMargin, max(minMargin, timeout/marginDivisor))
}
