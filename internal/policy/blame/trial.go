package blame

import "time"

const (
	// firstTrialDelay is the time from the newest crash that names a part until its first trial.
	firstTrialDelay = 3 * time.Second
	// trialDelayFactor is the growth of that time with each failed trial, as each may cost an instance.
	trialDelayFactor = 5
	// maxTrialDelay bounds that time.
	maxTrialDelay = 10 * time.Minute
)

// TrialDelay returns the time from the newest crash that names a blocked part until one
// request with it may be sent, after a number of such trials have failed.
func TrialDelay(failed int) time.Duration {
	d := firstTrialDelay
	for range failed {
		if d *= trialDelayFactor; d >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return d
}
