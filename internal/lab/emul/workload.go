package emul

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"foxtailcroft/internal/core/site"
)

// requestClass describes requests with the same targets and size distribution.
type requestClass struct {
	name              string
	requestsPerSecond float64
	firstEventGoal    time.Duration
	maxGap            time.Duration
	deadline          time.Duration
	// sharedParts are the leading prompt parts that requests have in common;
	// each request draws one variant of each.
	sharedParts []sharedPart
	// meanOwnTokens is the mean number of prompt tokens after the shared parts,
	// and meanEvents the mean number of stream events of an answer.
	meanOwnTokens float64
	meanEvents    float64
	// usesBusyModels makes requests use one of the two models that are busy at
	// the time; otherwise they use any model that is never busy.
	usesBusyModels bool
}

// sharedPart is a prompt part of a number of tokens that comes in a number of variants.
type sharedPart struct {
	tokens, variants int
}

const (
	// busyModels is how many models take turns at being busy, two at a time.
	busyModels = 5
	// busyPeriod is how long the same two models stay busy.
	busyPeriod = 15 * time.Second
	// sizeLogStdDev is the standard deviation of the natural logarithm of a
	// log-normal prompt or output size.
	sizeLogStdDev = 0.8
	// maxSizeRatio bounds a drawn size as a multiple of its mean.
	maxSizeRatio = 8.0
)

// requestClasses returns the request classes that the spares desk states in its requirements.
func requestClasses() []requestClass {
	parts := []sharedPart{{2520, 3}, {3780, 46}}
	return []requestClass{
		{"parts list", 7.4, 800 * time.Millisecond, 400 * time.Millisecond, 5 * time.Second, parts, 2890, 10, true},
		{"quote", 3.2, 2500 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, []sharedPart{{2520, 1}, {3780, 2}}, 2890, 10, false},
		{"chat", 9.5, 1500 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, []sharedPart{{119, 3}, {79, 89}}, 628, 58, true},
	}
}

// request is one request of a day and its measured outcome.
type request struct {
	class *requestClass
	// front is the number of the front that routes the request.
	front int
	// arrivedAt, sentAt and firstEventAt are times since the start of the day; sentAt and
	// firstEventAt are 0 until then.
	arrivedAt      time.Duration
	model          string
	promptTokens   int
	parts          []site.PromptPart
	outputTokens   int
	sentAt         time.Duration
	firstEventAt   time.Duration
	longestGap     time.Duration
	server         *server
	uncachedTokens int
	// noOtherPrefill is true if the server had no other prefill in progress when the request was sent.
	noOtherPrefill bool
	// expectedPrefill is the forecast prefill time of the prompt tokens that
	// routing takes as uncached: all of them without Knowledge.Parts.
	expectedPrefill time.Duration
	completed       bool
}

// generateRequests draws the requests of a day of the given length, as Poisson
// arrivals of each class; loadFactor multiplies the rates of the classes.
func generateRequests(length time.Duration, loadFactor float64, models int, seed uint64) []*request {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var out []*request
	classes := requestClasses()
	for i := range classes {
		c := &classes[i]
		for at := time.Duration(0); ; {
			at += time.Duration(rnd.ExpFloat64() / (c.requestsPerSecond * loadFactor) * float64(time.Second))
			if at >= length {
				break
			}
			out = append(out, drawRequest(c, at, models, rnd))
		}
	}
	return out
}

func drawRequest(c *requestClass, at time.Duration, models int, rnd *rand.Rand) *request {
	q := &request{class: c, arrivedAt: at}
	if c.usesBusyModels {
		q.model = modelName((int(at/busyPeriod) + rnd.IntN(2)) % busyModels)
	} else {
		q.model = modelName(busyModels + rnd.IntN(models-busyModels))
	}
	drawSize := func(mean float64) int {
		return max(1, int(min(maxSizeRatio*mean, mean*math.Exp(sizeLogStdDev*rnd.NormFloat64()-sizeLogStdDev*sizeLogStdDev/2))))
	}
	for i, p := range c.sharedParts {
		q.parts = append(q.parts, site.PromptPart{ID: fmt.Sprintf("%s-%d-%d", c.name, i, rnd.IntN(p.variants)), Tokens: p.tokens})
		q.promptTokens += p.tokens
	}
	q.promptTokens += drawSize(c.meanOwnTokens)
	q.outputTokens = 5 * drawSize(c.meanEvents)
	return q
}

func modelName(i int) string {
	return fmt.Sprintf("m%02d", i)
}
