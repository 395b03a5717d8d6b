package emul

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// ServerSpec is the performance model of the servers.
type ServerSpec struct {
	// StepTime is the base time of one batch step; each request in the batch adds
	// StepTimePerRequest, and each thousand tokens in the KV cache
	// StepTimePerThousandTokens.
	StepTime                  time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMs is the prefill rate without attention;
	// TimePerMillionPairs is the attention time of a million pairs of tokens.
	PrefillTokensPerMs  float64
	TimePerMillionPairs time.Duration
	// PrefillChunkTokens bounds the prompt tokens that one step prefills;
	// TokensPerEvent is the number of generated tokens in one stream event.
	PrefillChunkTokens int
	TokensPerEvent     int
	// TimeFactors multiply the step time; server i uses entry i modulo the length.
	TimeFactors []float64
}

// DefaultSpec returns the performance of the sites' engine, a 70B model on two
// accelerators; every third server is slower by a factor of 1.3.
func DefaultSpec() ServerSpec {
	return ServerSpec{
		StepTime: 4430 * time.Microsecond, StepTimePerRequest: 19 * time.Microsecond, StepTimePerThousandTokens: 11 * time.Microsecond,
		PrefillTokensPerMs: 38.1, TimePerMillionPairs: 737 * time.Microsecond, PrefillChunkTokens: 2048, TokensPerEvent: 5, TimeFactors: []float64{1, 1, 1.3},
	}
}

// sequence is a request in the batch of a server.
type sequence struct {
	req *request
	// prefillLeft counts the prompt tokens still to prefill, prefilled those in
	// the KV cache, and generated the output tokens.
	prefillLeft int
	prefilled   int
	generated   int
	// timeFactor is that of the model: it multiplies prefill and step times.
	timeFactor  float64
	lastEventAt time.Duration
}

// server is one emulated server.
type server struct {
	spec       *ServerSpec
	id         string
	timeFactor float64
	// slowdown multiplies the step time at the moment; 0 is as 1.
	slowdown    float64
	batch       []*sequence
	loaded      map[string]*loadedModel
	onDisk      []string
	prefixCache map[string]bool
	loading     string
	// evicting lists the models that are unloaded to make room for loading.
	evicting   []string
	loadEndsAt time.Duration
	// stepping is true while a batch step is in progress.
	stepping bool
}

// loadedModel is a model in a server's memory.
type loadedModel struct {
	loadedAt   time.Duration
	lastUsedAt time.Duration
}

// runStep prefills the chunk of one batch step and returns how long the step takes.
func (s *server) runStep() time.Duration {
	var prefillTime time.Duration
	prefillBudget, contextTokens, batchFactor := s.spec.PrefillChunkTokens, 0, 0.0
	for _, r := range s.batch {
		contextTokens += r.prefilled + r.generated
		batchFactor = max(batchFactor, r.timeFactor)
		n := min(r.prefillLeft, prefillBudget)
		if n == 0 {
			continue
		}
		millionPairs := float64(n) * (float64(r.prefilled) + float64(n)/2) / 1e6
		linearTime := time.Duration(float64(n) / s.spec.PrefillTokensPerMs * float64(time.Millisecond))
		prefillTime += time.Duration(r.timeFactor * float64(linearTime+time.Duration(millionPairs*float64(s.spec.TimePerMillionPairs))))
		r.prefillLeft, r.prefilled, prefillBudget = r.prefillLeft-n, r.prefilled+n, prefillBudget-n
	}
	baseTime := time.Duration(batchFactor*float64(s.spec.StepTime)) + time.Duration(len(s.batch))*s.spec.StepTimePerRequest + time.Duration(contextTokens/1000)*s.spec.StepTimePerThousandTokens
	took := time.Duration(s.timeFactor * float64(prefillTime+baseTime))
	if s.slowdown > 0 {
		took = time.Duration(s.slowdown * float64(took))
	}
	return took
}

// emitTokens generates one token for each sequence whose prompt is prefilled
// and removes completed sequences. It calls onEvent for each stream event with
// the time since the previous event, which is 0 for the first one.
func (s *server) emitTokens(now time.Duration, onEvent func(r *sequence, gap time.Duration)) {
	s.batch = slices.DeleteFunc(s.batch, func(r *sequence) bool {
		if r.prefillLeft > 0 {
			return false
		}
		r.generated++
		if r.generated == 1 || r.generated%s.spec.TokensPerEvent == 0 {
			gap := time.Duration(0)
			if r.generated > 1 {
				gap = now - r.lastEventAt
			}
			r.lastEventAt = now
			onEvent(r, gap)
		}
		return r.generated >= r.req.outputTokens
	})
}

// admit adds a request to the batch and its shared prompt parts to the prefix cache.
func (s *server) admit(q *request, timeFactor float64, now time.Duration) {
	uncached := s.uncachedTokens(q)
	for _, p := range q.parts {
		s.prefixCache[q.model+"/"+p.ID] = true
	}
	s.batch = append(s.batch, &sequence{req: q, prefillLeft: uncached, prefilled: q.promptTokens - uncached, timeFactor: timeFactor})
	s.loaded[q.model].lastUsedAt = now
}

// uncachedTokens returns how many tokens of a prompt are not in the prefix
// cache for the request's model; at least 1.
func (s *server) uncachedTokens(q *request) int {
	uncached := q.promptTokens
	for _, p := range q.parts {
		if !s.prefixCache[q.model+"/"+p.ID] {
			break
		}
		uncached -= p.Tokens
	}
	return max(1, uncached)
}

// countRunning returns the number of requests in the batch that use a model.
func (s *server) countRunning(model string) int {
	n := 0
	for _, r := range s.batch {
		if r.req.model == model {
			n++
		}
	}
	return n
}

// loadTime returns the load time of a model on this server, which depends on
// whether the weights are on its disk.
func (s *server) loadTime(m *site.Model) time.Duration {
	if slices.Contains(s.onDisk, m.Name) {
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}
