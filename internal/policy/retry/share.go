package retry

// BudgetShare is one process's part of a retry budget that several processes divide.
// Retries beyond the saved ones must be earned by first attempts, so that in any
// period the retries of all processes together are at most the slack plus
// RetriesPerSend times their first attempts.
type BudgetShare struct {
	// RetriesPerSend is the number of retries that each first attempt earns.
	RetriesPerSend float64
	// MaxSaved bounds the saved retries.
	MaxSaved float64
	saved    float64
}

// NewBudgetShare returns a full share of a budget that the given number of processes
// divide. ratio is the number of retries per first attempt, and slack the number
// of retries that the whole budget saves up.
func NewBudgetShare(ratio, slack float64, processes int) BudgetShare {
	part := slack / float64(max(1, processes))
	return BudgetShare{RetriesPerSend: ratio, MaxSaved: part, saved: part}
}

// Earned returns the share increased by a first attempt.
func (s BudgetShare) Earned() BudgetShare {
	s.saved = min(s.MaxSaved, s.saved+s.RetriesPerSend)
	return s
}

// Spent returns the share reduced by a retry, or false if none is left.
func (s BudgetShare) Spent() (BudgetShare, bool) {
	if s.saved < 1 {
		return s, false
	}
	s.saved--
	return s, true
}
