package retry

// Share is one process' part of a budget of second sends that all processes
// hold together: sends beyond the saved ones must be earned by first sends, so
// that in any window the second sends are at most the slack plus the ratio.
type Share struct {
	Ratio float64
	// Cap bounds what is saved up.
	Cap   float64
	saved float64
}

// NewShare returns a full share of a budget that a number of processes divide.
func NewShare(ratio, slack float64, processes int) Share {
	part := slack / float64(max(1, processes))
	return Share{Ratio: ratio, Cap: part, saved: part}
}

// Earned returns the share after a first send.
func (s Share) Earned() Share {
	s.saved = min(s.Cap, s.saved+s.Ratio)
	return s
}

// Spent returns the share after a second send; ok is false if none is left.
func (s Share) Spent() (Share, bool) {
	if s.saved < 1 {
		return s, false
	}
	s.saved--
	return s, true
}
