package reuse

import (
	"math"
	"time"
)

// Part is what is known of one part of a request's prompt at an instance.
type Part struct {
	// Tokens is the length of the part, and Kept how much of it the instance keeps, 0 if none.
	Tokens int
	Kept   int
	// Age is the time since the last known use of the part there.
	Age time.Duration
}

// Memory describes the memory that an instance has for running requests and kept parts.
type Memory struct {
	// TotalTokens is the whole memory, and UsedTokens the used part; 0 if not known.
	TotalTokens int
	UsedTokens  int
	// AddedPerSecond is the rate at which tokens are newly kept.
	AddedPerSecond float64
	// NewsAge is the age of the newest news of the cache; negative if there has never been any.
	NewsAge time.Duration
}

const (
	// evictionFrom is the used share of the memory from which parts are evicted: below it,
	// running requests find free memory. Up to 1 the effect grows linearly.
	evictionFrom = 0.85
	// turnoverShare is the share of the memory after whose renewal half of the parts that were not
	// used meanwhile are evicted; the rest of the memory is taken by running requests.
	turnoverShare = 0.7
	// turnoverPower makes the probability fall steeply around that point, as the least recently
	// used parts are evicted first.
	turnoverPower = 4
	// defaultTurnover is the time in which half of the unused parts are evicted where nothing is known
	// of the memory.
	defaultTurnover = 2 * time.Minute
	// freshNews is the age of news up to which it tells the state of the cache: quiet instances send
	// some at that interval. newsHalfLife is the half-life of what older news tells.
	freshNews    = 12 * time.Second
	newsHalfLife = 15 * time.Second
)

// HeldProbability returns the probability that the instance still holds a part that was last used
// some time ago.
func (m Memory) HeldProbability(age time.Duration) float64 {
	age = max(0, age)
	fullness := 1.0
	if m.TotalTokens > 0 && m.UsedTokens > 0 {
		used := float64(m.UsedTokens) / float64(m.TotalTokens)
		fullness = max(0, min(1, (used-evictionFrom)/(1-evictionFrom)))
	}
	turnover := defaultTurnover.Seconds()
	switch {
	case m.TotalTokens > 0 && m.AddedPerSecond > 0:
		turnover = turnoverShare * float64(m.TotalTokens) / m.AddedPerSecond
	case m.TotalTokens > 0 && m.NewsAge >= 0:
		// Nothing is added, so nothing is evicted.
		fullness = 0
	}
	p := 1 / (1 + fullness*math.Pow(age.Seconds()/turnover, turnoverPower))
	// A use that is newer than the news tells by itself that the part was there.
	if stale := min(m.NewsAge, age) - freshNews; stale > 0 {
		p *= math.Exp2(-stale.Seconds() / newsHalfLife.Seconds())
	}
	return p
}

// Outcome is one possible amount of saved prefill.
type Outcome struct {
	Probability float64
	SavedTokens int
}

// Outcomes returns the possible amounts of a prompt that an instance has kept when it reads the
// prompt after a wait, the least first; the probabilities add up to 1. A part counts only if
// all parts before it are held whole. As parts of one prompt are used together, an instance that
// holds a less probable part also holds the more probable ones before it.
func Outcomes(parts []Part, m Memory, wait time.Duration) []Outcome {
	out := []Outcome{{Probability: 1}}
	for _, p := range parts {
		last := &out[len(out)-1]
		held := min(last.Probability, m.HeldProbability(p.Age+wait))
		if p.Kept <= 0 || held < minProbability {
			break
		}
		saved := last.SavedTokens + min(p.Kept, p.Tokens)
		if last.Probability-held < minProbability {
			last.SavedTokens = saved
		} else {
			last.Probability -= held
			out = append(out, Outcome{held, saved})
		}
		if p.Kept < p.Tokens {
			break
		}
	}
	return out
}

// minProbability is the probability below which a part counts as evicted, and the difference
// below which two probabilities count as equal, to bound the outcomes.
const minProbability = 0.02

// Expected returns the expected number of saved tokens.
func Expected(outcomes []Outcome) int {
	sum := 0.0
	for _, o := range outcomes {
		sum += o.Probability * float64(o.SavedTokens)
	}
	return int(math.Round(sum))
}
