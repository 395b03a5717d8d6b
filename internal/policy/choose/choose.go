package choose

import "time"

// Candidate is one instance that could serve a request.
type Candidate struct {
	ID string
	// Near instances are in the entry's own failure domain.
	Near bool
	// Connected is set if there is a connection to it to use.
	Connected bool
	Slots     int
	// InFlight are the entry's own requests there, and Reported all requests that the instance last reported.
	InFlight int
	Reported int
	// Reading is the time to read the prompts of the entry's requests there that have not answered yet.
	Reading time.Duration
	// Missing is the time to read what the instance has not read of this request's prompt.
	Missing time.Duration
	// LongRead is the reading time without a break from which streams that run
	// beside may pause for too long; 0 if streams may pause.
	LongRead time.Duration
	// PauseRisk is the chance that a long read makes a stream there pause for too long, 0 if not known.
	PauseRisk float64
	// Failing is the recent share of failed requests, 0 to 1.
	Failing float64
	// Answers is the usual time until an answer begins, 0 if not known.
	Answers time.Duration
}

const (
	// sharing is the cost in milliseconds of one more request that runs beside this one.
	sharing = 1.0
	// crossing is the cost in milliseconds of leaving the failure domain.
	crossing = 4.0
	// connecting is the cost in milliseconds of a new connection: its way, and the server's time for it.
	connecting = 5.0
	// queueing is the cost in milliseconds of each request beyond the slots.
	queueing = 40.0
	// late is the cost in milliseconds of a request that is not served in time.
	late = 1000.0
	// usualRisk is the chance of a pause at a server of which none is known.
	usualRisk = 0.01
	// longPrompt is the length, in long reads, from which a prompt alone makes
	// streams pause, and mostRisk the most that this is taken to be likely.
	longPrompt = 1.5
	mostRisk   = 0.5
	// exposure is the chance that a long prompt is read beside a stream while it runs.
	exposure = 0.25
	// failing is the cost in milliseconds of an instance that fails all requests.
	failing = 4000.0
)

// Cost returns the expected milliseconds until the request is served there, with penalties.
func (c Candidate) Cost() float64 {
	running := max(c.InFlight, c.Reported)
	cost := float64((c.Missing + c.Reading).Milliseconds()) + sharing*float64(running) + failing*c.Failing
	if c.Slots > 0 && running >= c.Slots {
		cost += queueing * float64(running-c.Slots+1)
	}
	if c.LongRead > 0 {
		cost += late * c.pauses(running)
	}
	if !c.Near {
		cost += crossing
	}
	if !c.Connected {
		cost += connecting
	}
	return cost + float64(c.Answers.Milliseconds())/2
}

// pauses forecasts how many streams pause for too long if the request goes there: itself and those that run.
func (c Candidate) pauses(running int) float64 {
	if c.Missing+c.Reading > c.LongRead {
		return max(usualRisk, c.PauseRisk, c.lengthRisk()) * float64(1+running)
	}
	return exposure * c.PauseRisk
}

// lengthRisk is the chance that the prompt by itself makes streams pause: the
// steps that read a prompt take the longer the more of it was read before.
func (c Candidate) lengthRisk() float64 {
	return min(mostRisk, max(0, float64(c.Missing)/float64(c.LongRead)-longPrompt))
}

// Risk returns the chance of a pause beyond what is allowed at a server with a known longest pause.
func Risk(longest, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	return min(1, max(0, (float64(longest)/float64(allowed)-riskFrom)/(1-riskFrom)))
}

// riskFrom is the share of the allowed pause from which a known pause counts as a risk; it is certain at the whole.
const riskFrom = 0.9

// LongRead returns the reading time without a break that a server may take
// while streams may pause for a time: an event waits for several steps, each of
// which reads a piece of the prompt.
func LongRead(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * pauseShare)
}

// pauseShare is the part of a pause that is left for reading prompts beside the steps themselves.
const pauseShare = 0.55

// Best returns the index of the cheapest candidate, -1 if there is none; draw breaks near ties.
func Best(list []Candidate, draw func() float64) int {
	best, least := -1, 0.0
	for i, c := range list {
		cost := c.Cost() + draw()*sharing
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}
