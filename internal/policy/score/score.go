package score

import "time"

// Candidate is one instance that could serve a request.
type Candidate struct {
	ID string
	// SameDomain is set if the instance is in the entry's own failure domain.
	SameDomain bool
	// Connected is set if the entry has an open connection to the instance.
	Connected bool
	// Slots is the number of requests that the instance runs at once, 0 if not known.
	Slots int
	// InFlight counts the entry's own requests there, and Reported all requests in the instance's last report.
	InFlight int
	Reported int
	// PendingPrefill is the prefill time of the entry's requests there that have no answer yet.
	PendingPrefill time.Duration
	// MissingPrefill is the prefill time of the part of this request's prompt that the instance has not cached.
	MissingPrefill time.Duration
	// Prefills are the possible values of MissingPrefill, which is then their mean; nil if only one is possible.
	Prefills []Prefill
	// Slowdown multiplies both prefill times, which are those of an instance at its usual speed; 0 if not known.
	Slowdown float64
	// LongPrefill is the uninterrupted prefill time above which other streams on
	// the instance may pause for too long, 0 if streams may pause.
	LongPrefill time.Duration
	// PauseRisk is the probability that a long prefill makes a stream there pause for too long, 0 if not known.
	PauseRisk float64
	// OtherPrompts is set if the instance is left to prompts of another length (policy/split).
	OtherPrompts bool
	// FailureShare is the recent share of failed requests, from 0 to 1.
	FailureShare float64
	// LimitWait is the expected wait until the instance takes the request, 0 if it limits no requests.
	LimitWait time.Duration
	// TimeToAnswer is the usual time until an answer starts, 0 if not known.
	TimeToAnswer time.Duration
}

// Prefill is one possible prefill time of a prompt.
type Prefill struct {
	Probability float64
	Time        time.Duration
}

const (
	// concurrentCostMs is the cost of each request already running on the instance.
	concurrentCostMs = 1.0
	// crossDomainCostMs is the cost of leaving the failure domain.
	crossDomainCostMs = 4.0
	// otherPromptsCostMs is the cost of a request at an instance that is left to prompts of another length.
	otherPromptsCostMs = 250.0
	// connectCostMs is the cost of a new connection: the network round trip and the server's work for it.
	connectCostMs = 5.0
	// queuedCostMs is the cost of each request beyond the slots.
	queuedCostMs = 40.0
	// lateCostMs is the cost of a request that is not served in time.
	lateCostMs = 1000.0
	// defaultPauseRisk is the minimum probability of a pause after a long prefill, also where no risk is known.
	defaultPauseRisk = 0.01
	// longPromptRatio is the prefill time, in multiples of LongPrefill, above which
	// a prompt alone may make streams pause. maxLengthRisk bounds the
	// probability assumed for that.
	longPromptRatio = 1.5
	maxLengthRisk   = 0.5
	// overlapProbability is the probability that a long prefill runs on the instance during a stream.
	overlapProbability = 0.25
	// failureCostMs is the cost of an instance that fails all requests.
	failureCostMs = 4000.0
)

// CostMs returns the expected time to serve the request on this instance in
// milliseconds, with penalties for load, failures and pauses; the mean over Prefills.
func (c Candidate) CostMs() float64 {
	if len(c.Prefills) == 0 {
		return c.costMs()
	}
	sum := 0.0
	for _, p := range c.Prefills {
		c.MissingPrefill = p.Time
		sum += p.Probability * c.costMs()
	}
	return sum
}

// costMs returns the cost if the prefill takes MissingPrefill.
func (c Candidate) costMs() float64 {
	running := max(c.InFlight, c.Reported)
	cost := float64((c.prefill() + c.LimitWait).Milliseconds()) + concurrentCostMs*float64(running) + failureCostMs*c.FailureShare
	if c.Slots > 0 && running >= c.Slots {
		cost += queuedCostMs * float64(running-c.Slots+1)
	}
	if c.LongPrefill > 0 {
		cost += lateCostMs * c.expectedPauses(running)
	}
	if c.OtherPrompts {
		cost += otherPromptsCostMs
	}
	if !c.SameDomain {
		cost += crossDomainCostMs
	}
	if !c.Connected {
		cost += connectCostMs
	}
	return cost + float64(c.TimeToAnswer.Milliseconds())/2
}

// expectedPauses returns the expected number of streams that pause for too long
// if the request goes there, among the running ones and its own.
func (c Candidate) expectedPauses(running int) float64 {
	if c.prefill() > c.LongPrefill {
		return max(defaultPauseRisk, c.PauseRisk, c.lengthRisk()) * float64(1+running)
	}
	return overlapProbability * c.PauseRisk
}

// lengthRisk returns the probability that the prompt alone makes streams pause:
// each prefill step takes longer the more of the prompt was read before it.
func (c Candidate) lengthRisk() float64 {
	return min(maxLengthRisk, max(0, float64(slowed(c.MissingPrefill, c.Slowdown))/float64(c.LongPrefill)-longPromptRatio))
}

// prefill returns the time to read this request's prompt and those before it at the instance's current speed.
func (c Candidate) prefill() time.Duration {
	return slowed(c.MissingPrefill+c.PendingPrefill, c.Slowdown)
}

// slowed returns the time that work takes at a slowdown, 0 if none is known.
func slowed(d time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) * slowdown)
}

// PauseRisk returns the probability of a pause longer than allowed at a server with
// the given longest pause. It is 0 if any pause is allowed.
func PauseRisk(longest, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	return min(1, max(0, (float64(longest)/float64(allowed)-riskFromShare)/(1-riskFromShare)))
}

// riskFromShare is the share of the allowed pause above which a known pause
// counts as a risk. The risk rises linearly to 1 at the allowed pause.
const riskFromShare = 0.9

// LongPrefill returns the uninterrupted prefill time that a server may take if
// streams may pause for the given time. A stream's event waits for several
// steps, each of which reads a chunk of the prompt.
func LongPrefill(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * prefillPauseShare)
}

// LongPrompt returns the reading time from which a prompt counts as long where streams
// may pause for the given time.
func LongPrompt(pause time.Duration) time.Duration {
	return LongPrefill(pause) / longPromptDivisor
}

// longPromptDivisor divides LongPrefill: a few prompts of that length that are read one
// after the other make streams pause.
const longPromptDivisor = 3

// prefillPauseShare is the share of a pause that is left for prefill; the steps themselves take the rest.
const prefillPauseShare = 0.55

// Best returns the index of the candidate with the lowest CostMs, -1 if there is
// none. random returns values from 0 to 1 that break near ties.
func Best(candidates []Candidate, random func() float64) int {
	best, leastCost := -1, 0.0
	for i, c := range candidates {
		cost := c.CostMs() + random()*concurrentCostMs
		if best < 0 || cost < leastCost {
			best, leastCost = i, cost
		}
	}
	return best
}
