package emul

import (
	"math/rand/v2"
	"time"

	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/reuse"
	"foxtailcroft/internal/policy/score"
)

const (
	// newsDelay is the time until all fronts know that a server keeps or dropped a part: two polls and
	// an exchange with the planner.
	newsDelay = 1500 * time.Millisecond
	// lostNews is the share of events that never arrive.
	lostNews = 0.02
)

// cachedPart is a prompt part in a server's bounded cache.
type cachedPart struct {
	tokens int
	usedAt time.Duration
}

// partKey names a prompt part on a server; front is 0 in what all fronts know.
type partKey struct {
	front  int
	server string
	part   string
}

// partNews is what is known of a prompt part on a server; tokens is 0 once it was dropped.
type partNews struct {
	tokens int
	at     time.Duration
}

// keptParts is the state of bounded prompt caches and of what fronts know of them.
type keptParts struct {
	// caches and cachedTokens are the servers' cached parts and their sums.
	caches       map[string]map[string]cachedPart
	cachedTokens map[string]int
	added        map[string]decay.Count
	// sent is when each front last sent a part to a server, and news what all fronts know from events.
	sent map[partKey]time.Duration
	news map[partKey]partNews
	rnd  *rand.Rand
}

func newKeptParts(seed uint64) keptParts {
	return keptParts{
		caches: map[string]map[string]cachedPart{}, cachedTokens: map[string]int{}, added: map[string]decay.Count{},
		sent: map[partKey]time.Duration{}, news: map[partKey]partNews{}, rnd: rand.New(rand.NewPCG(seed, 3)),
	}
}

// keepParts updates a server's bounded cache with the parts of a request that was sent to it.
func (p *simulation) keepParts(s *server, q *request) {
	if p.options.CacheTokens == 0 {
		return
	}
	cache := p.kept.caches[s.id]
	if cache == nil {
		cache = map[string]cachedPart{}
		p.kept.caches[s.id] = cache
	}
	for _, part := range q.parts {
		key := q.model + "/" + part.ID
		p.kept.sent[partKey{q.front, s.id, key}] = p.now
		if _, ok := cache[key]; !ok {
			p.kept.cachedTokens[s.id] += part.Tokens
			p.kept.added[s.id] = p.kept.added[s.id].Add(float64(part.Tokens), p.policyTime())
			p.publish(s, key, part.Tokens)
		}
		cache[key] = cachedPart{part.Tokens, p.now}
	}
	for p.kept.cachedTokens[s.id]+s.runningTokens() > p.options.CacheTokens {
		if !p.evictPart(s, cache) {
			return
		}
	}
}

// evictPart drops the least recently used part of a cache; false if all were used just now.
func (p *simulation) evictPart(s *server, cache map[string]cachedPart) bool {
	oldest := ""
	for _, key := range sortedKeys(cache) {
		if cache[key].usedAt < p.now && (oldest == "" || cache[key].usedAt < cache[oldest].usedAt) {
			oldest = key
		}
	}
	if oldest == "" {
		return false
	}
	p.kept.cachedTokens[s.id] -= cache[oldest].tokens
	delete(cache, oldest)
	delete(s.prefixCache, oldest)
	p.publish(s, oldest, 0)
	return true
}

// runningTokens returns the tokens of the running requests beyond their shared parts.
func (s *server) runningTokens() int {
	n := 0
	for _, r := range s.batch {
		n += r.req.promptTokens + r.generated
		for _, part := range r.req.parts {
			n -= part.Tokens
		}
	}
	return n
}

// publish tells all fronts after newsDelay that a server keeps a part, or with 0 tokens that it dropped it.
func (p *simulation) publish(s *server, key string, tokens int) {
	if p.kept.rnd.Float64() < lostNews {
		return
	}
	p.schedule(p.now+newsDelay, func() {
		p.kept.news[partKey{0, s.id, key}] = partNews{tokens, p.now}
	})
}

// ownUncached returns how many tokens of a prompt a front has not sent to a server before.
func (p *simulation) ownUncached(s *server, q *request) int {
	uncached := q.promptTokens
	for _, part := range q.parts {
		if _, ok := p.kept.sent[partKey{q.front, s.id, q.model + "/" + part.ID}]; !ok {
			break
		}
		uncached -= part.Tokens
	}
	return max(1, uncached)
}

// indexedPrefill sets a candidate's prefill times from what all fronts know of the server's cache
// and from the front's own requests, as the front does (internal/front/proxy).
func (p *simulation) indexedPrefill(c *score.Candidate, s *server, q *request) {
	var parts []reuse.Part
	for _, part := range q.parts {
		key := q.model + "/" + part.ID
		news := p.kept.news[partKey{0, s.id, key}]
		sentAt, sent := p.kept.sent[partKey{q.front, s.id, key}]
		known := reuse.Part{Tokens: part.Tokens}
		switch {
		case news.tokens > 0:
			known.Kept, known.Age = news.tokens, p.now-max(news.at, sentAt)
		case sent && sentAt > news.at:
			known.Kept, known.Age = part.Tokens, p.now-sentAt
		}
		parts = append(parts, known)
	}
	outcomes := reuse.Outcomes(parts, reuse.Memory{
		TotalTokens: p.options.CacheTokens, UsedTokens: p.kept.cachedTokens[s.id] + s.runningTokens(), AddedPerSecond: p.kept.added[s.id].Rate(p.policyTime()),
	}, c.PendingPrefill)
	speed := p.prefillSpeeds[q.model]
	c.MissingPrefill = speed.Duration(max(1, q.promptTokens-reuse.Expected(outcomes)))
	if len(outcomes) == 1 {
		return
	}
	for _, o := range outcomes {
		c.Prefills = append(c.Prefills, score.Prefill{Probability: o.Probability, Time: speed.Duration(max(1, q.promptTokens-o.SavedTokens))})
	}
}
