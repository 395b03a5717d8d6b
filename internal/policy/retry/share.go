package retry

// Share is one process's part of a retry budget that several processes divide.
// Retries beyond the saved ones must be earned by first sends, so that in any
// period all retries are at most the slack plus Ratio times the first sends.
type Share struct {
	// Ratio is the number of retries that each first send earns.
	Ratio float64
	// Cap bounds the saved retries.
	Cap   float64
	saved float64
}

// NewShare returns a full share of a budget with the given slack, divided by the number of processes.
func NewShare(ratio, slack float64, processes int) Share {
	part := slack / float64(max(1, processes))
	return Share{Ratio: ratio, Cap: part, saved: part}
}

// Earned returns the share increased by a first send.
func (s Share) Earned() Share {
	s.saved = min(s.Cap, s.saved+s.Ratio)
	return s
}

// Spent returns the share reduced by a retry, or false if none is left.
func (s Share) Spent() (Share, bool) {
	if s.saved < 1 {
		return s, false
	}
	s.saved--
	return s, true
}
