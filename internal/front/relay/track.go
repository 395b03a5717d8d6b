package relay

import (
	"slices"
	"sync"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/fade"
	"foxtailcroft/internal/policy/speed"
)

const (
	// reportedFor is how long a reported load is valid.
	reportedFor = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.25
	// failureMemory is the time in which a share of failures falls to a half while nothing is sent.
	failureMemory = 2 * time.Second
	// rememberedParts bounds the prompt parts remembered for each instance.
	rememberedParts = 512
)

// tracker keeps what this front knows of instances from its own requests.
type tracker struct {
	mu     sync.Mutex
	seen   map[site.Key]*seen
	placed map[site.Adapter]map[site.Key]bool
	asked  map[site.Adapter]float64
	// recent are the requests that still count, for a planner that is new.
	recent map[site.Adapter]fade.Count
	// speeds are learned by model.
	speeds map[string]speed.Reading
}

// seen is what the own requests have shown of one instance.
type seen struct {
	inFlight map[site.Adapter]int
	total    int
	requests map[site.Adapter]int
	reading  time.Duration
	// worked is the reading time of the prompts sent since the last report, by target.
	worked     map[site.Adapter]time.Duration
	reported   int
	reportedAt time.Time
	failing    float64
	failingAt  time.Time
	answers    time.Duration
	// pauses is the longest pause of streams as far as known, and newPause that of own streams since the last report.
	pauses   fade.Peak
	newPause time.Duration
	parts    map[string]time.Time
	// excludedUntil is until when nothing is sent, after a refused connection or request.
	excludedUntil time.Time
	// absent are models that the instance said it does not have, with the time of that.
	absent map[site.Adapter]time.Time
}

func newTracker() *tracker {
	return &tracker{seen: map[site.Key]*seen{}, placed: map[site.Adapter]map[site.Key]bool{}, asked: map[site.Adapter]float64{}, recent: map[site.Adapter]fade.Count{}, speeds: map[string]speed.Reading{}}
}

func (t *tracker) of(k site.Key) *seen {
	s := t.seen[k]
	if s == nil {
		s = &seen{inFlight: map[site.Adapter]int{}, requests: map[site.Adapter]int{}, worked: map[site.Adapter]time.Duration{}, parts: map[string]time.Time{}, absent: map[site.Adapter]time.Time{}}
		t.seen[k] = s
	}
	return s
}

// absentFor is how long a rejection for a missing model overrides the announcement, which lags by one heartbeat.
const absentFor = 1500 * time.Millisecond

func (s *seen) failed(now time.Time) float64 {
	return s.failing * float64(failureMemory) / float64(failureMemory+now.Sub(s.failingAt))
}

// begin notes a request that is sent, and returns the functions that note its first answer and its end.
func (t *tracker) begin(k site.Key, r *site.Request, plain bool) (answered func(), ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	began := time.Now()
	tokens := s.missing(r)
	reading, alone := t.speeds[r.Target.Model].Time(tokens), s.reading == 0
	s.inFlight[r.Target]++
	s.requests[r.Target]++
	s.total++
	s.reading += reading
	s.worked[r.Target] += reading
	s.remember(r, began)
	answered = sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.reading -= reading
		if alone && r.Target.Model != "" {
			t.speeds[r.Target.Model] = t.speeds[r.Target.Model].With(tokens, time.Since(began))
		}
		if plain {
			s.answers += (time.Since(began) - s.answers) / 4
		}
	})
	return answered, func() {
		answered()
		t.mu.Lock()
		defer t.mu.Unlock()
		s.inFlight[r.Target]--
		s.total--
	}
}

func (s *seen) remember(r *site.Request, now time.Time) {
	for _, p := range r.Parts {
		s.parts[partKey(r.Target, p)] = now
	}
	for key, at := range s.parts {
		if len(s.parts) <= rememberedParts {
			return
		}
		if now.Sub(at) > time.Second {
			delete(s.parts, key)
		}
	}
}

// outcome notes whether an instance served a request.
func (t *tracker) outcome(k site.Key, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	now := time.Now()
	was := s.failed(now)
	s.failing, s.failingAt = was*(1-failureWeight), now
	if failed {
		s.failing += failureWeight
	}
}

// reported notes the requests that an instance had at a time, unless something newer is known.
func (t *tracker) reported(k site.Key, requests int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	if at.After(s.reportedAt) {
		s.reported, s.reportedAt = requests, at
	}
}

// paused notes a pause in a stream of an instance.
func (t *tracker) paused(k site.Key, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	s.pauses = s.pauses.With(gap, time.Now())
	s.newPause = max(s.newPause, gap)
}

// pausedElsewhere notes the longest pause that other fronts have seen.
func (t *tracker) pausedElsewhere(k site.Key, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	s.pauses = s.pauses.With(longest, time.Now())
}

const (
	// excludedRefused is how long an instance gets nothing after it refused a connection.
	excludedRefused = 700 * time.Millisecond
	// excludedFull is the same after it rejected a request as full.
	excludedFull = 60 * time.Millisecond
)

// exclude keeps requests from an instance for a while.
func (t *tracker) exclude(k site.Key, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(k)
	s.excludedUntil = time.Now().Add(d)
}

// unusable returns those of the announced holders that cannot be used at the moment.
func (t *tracker) unusable(list []site.Instance, target site.Adapter) []site.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []site.Key
	for _, in := range list {
		if s := t.of(in.Key); now.Before(s.excludedUntil) || now.Sub(s.absent[target]) < absentFor {
			out = append(out, in.Key)
		}
	}
	return out
}

// absent notes that an instance lacks a model or adapter.
func (t *tracker) absent(k site.Key, target site.Adapter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(k).absent[target] = time.Now()
	delete(t.placed[target], k)
}

// place notes which instances have an adapter.
func (t *tracker) place(target site.Adapter, keys []site.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := map[site.Key]bool{}
	for _, k := range keys {
		at[k] = true
		delete(t.of(k).absent, target)
	}
	t.placed[target] = at
}

// holding returns those instances that are known to serve a target.
func (t *tracker) holding(list []site.Instance, target site.Adapter) []site.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []site.Instance
	for _, in := range list {
		if t.placed[target][in.Key] || target.Name == "" && slices.Contains(in.Models, target.Model) {
			out = append(out, in)
		}
	}
	return out
}

// ask counts a request for a model or adapter.
func (t *tracker) ask(target site.Adapter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[target]++
	t.recent[target] = t.recent[target].Add(1, time.Now())
}

// leastCount is the weight below which past requests are forgotten.
const leastCount = 0.2

// requests returns the requests since the last call or, if all is set, those that still count.
func (t *tracker) requests(all bool) []peers.Ask {
	var out []peers.Ask
	now := time.Now()
	for target, c := range t.recent {
		n := t.asked[target]
		if all {
			n = c.Weight(now)
		}
		if n > 0 {
			out = append(out, peers.Ask{Target: target, Requests: n})
		}
		if c.Weight(now) < leastCount {
			delete(t.recent, target)
		}
	}
	clear(t.asked)
	return out
}

// uses returns what was used since the last call, with all requests that still
// count if all is set, and forgets instances that are gone.
func (t *tracker) uses(front string, all bool, live func(site.Key) bool) peers.Uses {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := peers.Uses{Front: front, Asked: t.requests(all)}
	for k, s := range t.seen {
		for target, n := range s.inFlight {
			if n > 0 || s.requests[target] > 0 {
				u.Uses = append(u.Uses, peers.Use{Instance: k, Target: target, Requests: s.requests[target], InFlight: n, Work: s.worked[target]})
			}
			if n == 0 {
				delete(s.inFlight, target)
			}
		}
		clear(s.requests)
		clear(s.worked)
		if s.newPause > 0 {
			u.Pauses = append(u.Pauses, peers.Pause{Instance: k, Longest: s.newPause})
			s.newPause = 0
		}
		if s.total == 0 && !live(k) {
			delete(t.seen, k)
		}
	}
	return u
}
