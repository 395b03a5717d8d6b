package delay

import (
	"time"

	"foxtailcroft/internal/policy/score"
)

// IsEnabled switches rejections by forecast on or off.
const IsEnabled = true

const (
	// margin is the share of the response goal that the forecast may take; the rest is for its error.
	margin = 0.9
	// othersMargin multiplies the estimate of other fronts' prompts: their lengths are not known, and
	// more of them may be on their way.
	othersMargin = 1.25
	// minWaitShare is the share of the goal for which a request may always wait, so that one whose
	// prompt alone takes the whole goal is served where the instance has little to read.
	minWaitShare = 0.25
	// maxAge is the age up to which load figures are a reason to reject.
	maxAge = time.Second
	// longDivisor divides the goal: longer prompts are worth an inquiry.
	longDivisor = 20
	// shareMaxAge is how long the newest known share of unread prompts is used, and suspectAge how long a
	// load figure is a reason to ask an instance for a new one.
	shareMaxAge = 10 * time.Second
	suspectAge  = 10 * time.Second
	// maxPrompt bounds the reading time of one prompt, as callers may declare any number of tokens.
	maxPrompt = 2 * time.Second
)

// BoundedPrompt returns the reading time of a prompt as it counts in forecasts.
func BoundedPrompt(d time.Duration) time.Duration {
	return min(d, maxPrompt)
}

// Instance is what a front knows of the prompts at an instance. Reading times are those at the
// instance's usual speed.
type Instance struct {
	// Slowdown is that of the newest load figure, 0 if there is none, and LoadAge the figure's age.
	Slowdown float64
	LoadAge  time.Duration
	// OtherRequests counts the requests of other fronts in that figure, and OtherWaiting those of them
	// that waited.
	OtherRequests int
	OtherWaiting  int
	// MeanPrompt is the mean reading time of a prompt, 0 if not known.
	MeanPrompt time.Duration
	// Unread is the reading time of the front's own prompts without an answer, Oldest that of the first
	// of them, and OldestAge the longest time for which the instance may have been reading it.
	Unread    time.Duration
	Oldest    time.Duration
	OldestAge time.Duration
	// UnreadShare is the share of other fronts' requests whose prompts the prompt answered last had to
	// wait for, and AnswerAge the time since that answer.
	UnreadShare float64
	AnswerAge   time.Duration
}

// Wait returns how long a request sent now would at least wait before its prompt is read, if the
// instance reads prompts one after the other; known is false without a fresh load figure.
func (i Instance) Wait() (wait time.Duration, known bool) {
	if i.Slowdown <= 0 || i.LoadAge > maxAge {
		return 0, false
	}
	wait = max(0, i.Slowed(i.Unread-i.Oldest), i.Slowed(i.Unread)-i.OldestAge)
	if others := i.othersUnread(); others > 0 {
		wait = max(wait, i.Slowed(i.Unread+others)-i.LoadAge)
	}
	return wait, true
}

// othersUnread returns the reading time of other fronts' prompts at the time of the load figure. An
// instance may count the prompts that it has not read as waiting or as running requests; how many of the
// latter they are is only known from the waits of this front's prompts.
func (i Instance) othersUnread() time.Duration {
	prompts := float64(i.OtherWaiting)
	if i.AnswerAge <= shareMaxAge {
		prompts = max(prompts, i.UnreadShare*float64(i.OtherRequests))
	}
	return time.Duration(othersMargin * prompts * float64(i.MeanPrompt))
}

// UnreadShare returns the share of other fronts' requests whose prompts a prompt had to wait for: it
// was answered after took, of which known was the reading of the front's own prompts and of itself.
func UnreadShare(took, known time.Duration, otherRequests int, meanPrompt time.Duration) float64 {
	if otherRequests <= 0 || meanPrompt <= 0 {
		return 0
	}
	return max(0, min(1, float64(took-known)/(float64(otherRequests)*float64(meanPrompt))))
}

// Slowed returns the time that work takes at the lower of the reported slowdown and the one expected
// since: a slowdown that is the machine's usual one does not decay.
func (i Instance) Slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * min(i.Slowdown, score.CurrentSlowdown(i.Slowdown, i.LoadAge)))
}

// Limit returns how long a request with a goal for its first event may wait before its prompt is read.
func Limit(goal, prompt time.Duration) time.Duration {
	return max(time.Duration(margin*float64(goal))-prompt, time.Duration(minWaitShare*float64(goal)))
}

// Option is an instance to which a request could be sent.
type Option struct {
	Instance
	// Limit is how long the request may wait there.
	Limit time.Duration
	// IsLong is true if the request's prompt takes a considerable part of its goal there.
	IsLong bool
}

// IsWorthAsking reports whether requests may wait there for longer than the limit although the known
// figures don't show it, so that the instance should be asked for its load.
func (o Option) IsWorthAsking() bool {
	return o.IsLong && o.LoadAge > maxAge || o.Unread > o.Limit/2 || o.LoadAge <= suspectAge && o.othersUnread() > o.Limit/2
}

// IsLong reports whether a prompt takes a considerable part of the goal, so that its reading is
// worth the network's round trip of an inquiry.
func IsLong(goal, prompt time.Duration) bool {
	return prompt > goal/longDivisor
}

// Excess returns how long it takes until one of the instances takes the request in time; late is false if one does
// now or may do so.
func Excess(options []Option) (least time.Duration, late bool) {
	for i, o := range options {
		wait, known := o.Wait()
		if !known || wait <= o.Limit {
			return 0, false
		}
		if excess := wait - o.Limit; i == 0 || excess < least {
			least = excess
		}
	}
	return least, len(options) > 0
}

const (
	// maxRetryAfter bounds the retry time of a rejection, and minRetryAfter is about the time of a round trip.
	maxRetryAfter = 5 * time.Second
	minRetryAfter = 20 * time.Millisecond
	// jitterShare is the share of the retry time that is added at most, so that callers don't return together.
	jitterShare = 0.5
)

// RetryAfter returns the retry time for an excess; random is from 0 to 1.
func RetryAfter(excess time.Duration, random float64) time.Duration {
	wait := max(excess, minRetryAfter)
	return min(maxRetryAfter, wait+time.Duration(jitterShare*random*float64(wait)))
}
