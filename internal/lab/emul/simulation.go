package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/score"
	"foxtailcroft/internal/policy/speed"
	"foxtailcroft/internal/policy/swap"
)

// Knowledge selects the inputs that routing and placement may use.
type Knowledge struct {
	Name string
	// Parts enables prefix awareness: which prompt parts each server has cached.
	Parts bool
	// Own enables what each front has sent to each server by itself; it ignores evictions.
	Own bool
	// Index enables what the servers publish of their prompt caches, with delays and losses, beside Own.
	Index bool
	// Work enables the mean prefill time of each model's requests.
	Work bool
	// Pauses enables the longest recent stream pause of each server.
	Pauses bool
	// Slowdown enables the slowdown that a server reports with the head of each answer.
	Slowdown bool
	// Inquiries makes a front ask the two best servers for their slowdowns before it sends a long prompt.
	Inquiries bool
	// Chance routes each request to a random server that has the model.
	Chance bool
}

// Options configure one simulated day.
type Options struct {
	Servers int
	Models  int
	// ModelsPerServer is how many models fit in a server's memory.
	ModelsPerServer int
	// AllLoaded makes every server hold every model from the beginning, so that only routing differs.
	AllLoaded bool
	Duration  time.Duration
	// LoadFactor multiplies the request rates of the site.
	LoadFactor float64
	Seed       uint64
	// CacheTokens bounds a server's memory for running requests and cached prompt parts; 0 for no bound.
	CacheTokens int
	// Fronts is how many fronts route the requests, each with its own knowledge of slowdowns; 0 for one.
	Fronts int
	// SlowTimes are the times at which servers are slow.
	SlowTimes []SlowTime
}

// SlowTime is a time in which work takes Factor times as long on a server.
type SlowTime struct {
	Server      int
	From, Until time.Duration
	Factor      float64
}

// SparesOptions returns the options of the spares desk, whose servers can hold nearly
// all of its models at once.
func SparesOptions(load float64, seed uint64) Options {
	return Options{Servers: 12, Models: 39, ModelsPerServer: 3, Duration: dayLength, LoadFactor: load, Seed: seed}
}

// BlanketsOptions returns the options of the blanket-matching service, where replicas
// of busy models evict other models.
func BlanketsOptions(load float64, seed uint64) Options {
	return Options{Servers: 9, Models: 19, ModelsPerServer: 2, Duration: dayLength, LoadFactor: blanketsRateRatio * load, Seed: seed}
}

// blanketsRateRatio is the request rate of the blanket-matching service divided
// by that of the spares desk.
const blanketsRateRatio = 0.78

const (
	// planInterval is the time between two decisions of the placement policy.
	planInterval = 100 * time.Millisecond
	// smallModelTimeFactor scales prefill and step times of the first model,
	// the smallest of the busy ones.
	smallModelTimeFactor = 0.35
	// extraDiskModels is how many models are drawn at random to be on a server's
	// disk besides the loaded ones; a draw may repeat a model.
	extraDiskModels = 6
	// modelMB is the size of each model, and adapterMB the memory of a server
	// that the models leave free for adapters.
	modelMB   = 72700
	adapterMB = 2000
	// maxStoreLoads is how many concurrent loads from the weight store run at full speed.
	maxStoreLoads = 2
)

// simulation is the state of a simulated day.
type simulation struct {
	options   Options
	knowledge Knowledge
	spec      ServerSpec
	engine    *site.Engine
	servers   []*server
	queue     eventQueue
	now       time.Duration
	rnd       *rand.Rand
	// waitingRequests lists the requests whose model is loaded on no server.
	waitingRequests []*request
	// arrivals counts the requests that arrived for each model, sentRequests those that were sent, and
	// prefillSeconds sums the expected prefill times of the sent ones; all three decay with time.
	arrivals       map[string]decay.Count
	sentRequests   map[string]decay.Count
	prefillSeconds map[string]decay.Count
	prefillSpeeds  map[string]speed.Prefill
	// pausePeaks holds the longest recent stream pause of each server; it decays with time.
	pausePeaks map[string]decay.Peak
	// usualPausePeaks holds what the pauses would have been at the servers' usual speeds.
	usualPausePeaks map[string]decay.Peak
	// slowdowns holds the newest slowdown that each front knows of each server.
	slowdowns      map[slowdownKey]reportedSlowdown
	kept           keptParts
	loadsFromStore int
	// scheduled counts the events scheduled so far.
	scheduled int
}

// Simulate runs one day and returns the outcomes of its requests.
func Simulate(o Options, k Knowledge) Result {
	requests, loadsFromStore := simulate(o, k)
	return summarize(requests, loadsFromStore)
}

// simulate runs one day and returns its requests and the number of loads from the weight store.
func simulate(o Options, k Knowledge) ([]*request, int) {
	p := &simulation{
		options: o, knowledge: k, spec: DefaultSpec(), rnd: rand.New(rand.NewPCG(o.Seed, 2)), arrivals: map[string]decay.Count{}, sentRequests: map[string]decay.Count{},
		prefillSeconds: map[string]decay.Count{}, prefillSpeeds: map[string]speed.Prefill{}, pausePeaks: map[string]decay.Peak{}, usualPausePeaks: map[string]decay.Peak{}, slowdowns: map[slowdownKey]reportedSlowdown{}, kept: newKeptParts(o.Seed),
		engine: &site.Engine{ConcurrentRequests: 64, WeightsMB: float64(o.ModelsPerServer*modelMB + adapterMB), StoreLoadsPerSecond: 2.1},
	}
	for i := range o.Models {
		p.engine.Models = append(p.engine.Models, site.Model{
			Name: modelName(i), SizeMB: modelMB, StoreLoadTime: 6 * time.Second, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond,
		})
	}
	p.placeModels()
	p.scheduleSlowTimes()
	requests := generateRequests(o.Duration, o.LoadFactor, o.Models, o.Seed)
	for i, q := range requests {
		q.front = i % max(1, o.Fronts)
		p.schedule(q.arrivedAt, func() { p.arrive(q) })
	}
	for t := time.Duration(0); t < o.Duration; t += planInterval {
		p.schedule(t, p.planLoads)
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(*event)
		p.now = e.at
		e.run()
	}
	return requests, p.loadsFromStore
}

// placeModels loads the busy models on several servers and the others on one
// server each, as far as there is memory.
func (p *simulation) placeModels() {
	next := busyModels
	for i := range p.options.Servers {
		s := &server{spec: &p.spec, id: fmt.Sprintf("s%02d", i), timeFactor: p.spec.TimeFactors[i%len(p.spec.TimeFactors)], slowdown: 1, loaded: map[string]*loadedModel{}, prefixCache: map[string]bool{}}
		s.loaded[modelName(i%busyModels)] = &loadedModel{loadedAt: -time.Minute}
		for len(s.loaded) < p.options.ModelsPerServer && next < p.options.Models {
			s.loaded[modelName(next)] = &loadedModel{loadedAt: -time.Minute}
			next++
		}
		for m := range p.options.Models {
			if p.options.AllLoaded {
				s.loaded[modelName(m)] = &loadedModel{loadedAt: -time.Minute}
			}
		}
		for m := range s.loaded {
			s.onDisk = append(s.onDisk, m)
		}
		slices.Sort(s.onDisk)
		for range extraDiskModels {
			s.onDisk = append(s.onDisk, modelName(p.rnd.IntN(p.options.Models)))
		}
		p.servers = append(p.servers, s)
	}
}

// policyTime returns the simulated time as the time.Time that the policies expect.
func (p *simulation) policyTime() time.Time {
	return time.Unix(0, 0).Add(p.now)
}

func (p *simulation) arrive(q *request) {
	p.arrivals[q.model] = p.arrivals[q.model].Add(1, p.policyTime())
	if !p.send(q) {
		p.waitingRequests = append(p.waitingRequests, q)
	}
}

// send routes a request to the best server that has its model loaded; it
// returns false if there is none.
func (p *simulation) send(q *request) bool {
	var holders []*server
	var candidates []score.Candidate
	for _, s := range p.servers {
		if s.loaded[q.model] == nil || slices.Contains(s.evicting, q.model) {
			continue
		}
		holders = append(holders, s)
		candidates = append(candidates, p.candidate(s, q))
	}
	if len(holders) == 0 {
		return false
	}
	if p.knowledge.Inquiries {
		p.inquire(q, holders, candidates)
	}
	i := score.Best(candidates, p.rnd.Float64)
	if p.knowledge.Chance {
		i = p.rnd.IntN(len(holders))
	}
	s := holders[i]
	q.server, q.sentAt, q.uncachedTokens, q.expectedPrefill, q.noOtherPrefill = s, p.now, s.uncachedTokens(q), candidates[i].MissingPrefill, candidates[i].PendingPrefill == 0
	p.sentRequests[q.model] = p.sentRequests[q.model].Add(1, p.policyTime())
	p.prefillSeconds[q.model] = p.prefillSeconds[q.model].Add(q.expectedPrefill.Seconds(), p.policyTime())
	s.admit(q, p.timeFactor(q.model), p.now)
	p.keepParts(s, q)
	p.startStep(s)
	return true
}

func (p *simulation) candidate(s *server, q *request) score.Candidate {
	uncached := q.promptTokens
	switch {
	case p.knowledge.Parts:
		uncached = s.uncachedTokens(q)
	case p.knowledge.Own:
		uncached = p.ownUncached(s, q)
	}
	c := score.Candidate{
		ID: s.id, SameDomain: true, Connected: true, Slots: p.engine.ConcurrentRequests, InFlight: len(s.batch),
		MissingPrefill: p.prefillSpeeds[q.model].Duration(uncached), LongPrefill: score.LongPrefill(q.class.maxGap),
	}
	for _, r := range s.batch {
		if r.prefillLeft > 0 {
			c.PendingPrefill += r.req.expectedPrefill
		}
	}
	if p.knowledge.Index {
		p.indexedPrefill(&c, s, q)
	}
	pause := p.usualPausePeaks[s.id].Value(p.policyTime())
	if c.Slowdown = p.knownSlowdown(q.front, s); c.Slowdown > 0 {
		pause = time.Duration(c.Slowdown * float64(pause))
	}
	if p.knowledge.Pauses {
		c.PauseRisk = score.PauseRisk(pause, q.class.maxGap)
	}
	return c
}

func (p *simulation) timeFactor(model string) float64 {
	if model == modelName(0) {
		return smallModelTimeFactor
	}
	return 1
}

// startStep starts the next batch step of a server unless one is in progress or
// the batch is empty.
func (p *simulation) startStep(s *server) {
	if s.stepping || len(s.batch) == 0 {
		return
	}
	s.stepping = true
	p.schedule(p.now+s.runStep(), func() {
		s.stepping = false
		s.emitTokens(p.now, p.recordEvent)
		p.startStep(s)
	})
}

// recordEvent updates the outcome of a request for one event of its stream and
// the measurements that routing uses: prefill speeds and pause peaks.
func (p *simulation) recordEvent(r *sequence, gap time.Duration) {
	q := r.req
	if r.generated == 1 {
		q.firstEventAt = p.now
		p.reportSlowdown(q.front, q.server)
		if q.noOtherPrefill {
			took := score.AtUsualSpeed(p.now-q.sentAt, p.knownSlowdown(q.front, q.server))
			p.prefillSpeeds[q.model] = p.prefillSpeeds[q.model].Add(q.uncachedTokens, took)
		}
	}
	q.longestGap = max(q.longestGap, gap)
	if gap > q.class.maxGap/2 {
		pause := min(gap, q.class.maxGap*5/4)
		usual := score.AtUsualSpeed(pause, p.knownSlowdown(q.front, q.server))
		p.pausePeaks[q.server.id] = p.pausePeaks[q.server.id].Add(pause, p.policyTime())
		p.usualPausePeaks[q.server.id] = p.usualPausePeaks[q.server.id].Add(usual, p.policyTime())
	}
	q.completed = r.generated >= q.outputTokens
}

// planLoads starts the loads and evictions that the production placement policy decides.
func (p *simulation) planLoads() {
	p.sendWaiting()
	in := swap.Input{Engine: p.engine, Demand: map[string]swap.Demand{}, StoreConcurrency: maxStoreLoads, StoreLoadsLeft: maxStoreLoads}
	for _, q := range p.waitingRequests {
		i := slices.IndexFunc(in.Wants, func(w swap.Want) bool { return w.Model == q.model })
		if i < 0 {
			in.Wants = append(in.Wants, swap.Want{Model: q.model})
			i = len(in.Wants) - 1
		}
		in.Wants[i].Weight++
	}
	for m, c := range p.arrivals {
		d := swap.Demand{Rate: c.Rate(p.policyTime())}
		if sent := p.sentRequests[m].Value(p.policyTime()); p.knowledge.Work && sent >= 1 {
			d.PrefillTime = time.Duration(p.prefillSeconds[m].Value(p.policyTime()) / sent * float64(time.Second))
		}
		in.Demand[m] = d
	}
	for _, s := range p.servers {
		in.Servers = append(in.Servers, p.serverView(s))
		if s.loading != "" && !slices.Contains(s.onDisk, s.loading) {
			in.StoreLoadsRunning++
			in.StoreLoadsLeft--
		}
	}
	for _, a := range swap.Decide(in) {
		if !a.Deferred {
			p.startAction(a)
		}
	}
}

// sendWaiting routes the waiting requests whose model is loaded and drops those
// past their deadline.
func (p *simulation) sendWaiting() {
	p.waitingRequests = slices.DeleteFunc(p.waitingRequests, func(q *request) bool {
		return p.now-q.arrivedAt > q.class.deadline || p.send(q)
	})
}

func (p *simulation) serverView(s *server) swap.Server {
	v := swap.Server{ID: s.id, Busy: s.loading != "", Loading: s.loading, FreeIn: max(0, s.loadEndsAt-p.now), OnDisk: s.onDisk}
	if p.knowledge.Pauses {
		v.PauseRisk = score.PauseRisk(p.pausePeaks[s.id].Value(p.policyTime()), requestClasses()[0].maxGap)
	}
	for _, m := range sortedKeys(s.loaded) {
		if !slices.Contains(s.evicting, m) {
			v.Copies = append(v.Copies, swap.Copy{Model: m, InFlight: s.countRunning(m), Age: p.now - s.loaded[m].loadedAt, Idle: p.now - s.loaded[m].lastUsedAt})
		}
	}
	return v
}

// startAction carries out an action of the placement policy; evicted models are
// unloaded once their requests have ended.
func (p *simulation) startAction(a swap.Action) {
	i := slices.IndexFunc(p.servers, func(s *server) bool { return s.id == a.Server })
	s := p.servers[i]
	s.loading, s.evicting, s.loadEndsAt = a.Load, a.Evict, p.now+a.ReadyIn
	p.evictThenLoad(s)
}

func (p *simulation) evictThenLoad(s *server) {
	for _, m := range s.evicting {
		if s.countRunning(m) > 0 {
			p.schedule(p.now+planInterval/2, func() { p.evictThenLoad(s) })
			return
		}
	}
	for _, m := range s.evicting {
		delete(s.loaded, m)
		p.dropCachedPrefixes(s, m)
	}
	s.evicting = nil
	loadTime := s.loadTime(p.engine.Model(s.loading))
	if !slices.Contains(s.onDisk, s.loading) {
		p.loadsFromStore++
	}
	s.loadEndsAt = p.now + loadTime
	p.schedule(s.loadEndsAt, func() {
		s.loaded[s.loading] = &loadedModel{loadedAt: p.now, lastUsedAt: p.now}
		if !slices.Contains(s.onDisk, s.loading) {
			s.onDisk = append(s.onDisk, s.loading)
		}
		s.loading = ""
		p.sendWaiting()
	})
}

// dropCachedPrefixes removes a model's prompts from the prefix cache of a server.
func (p *simulation) dropCachedPrefixes(s *server, model string) {
	for part := range s.prefixCache {
		if len(part) > len(model) && part[:len(model)+1] == model+"/" {
			delete(s.prefixCache, part)
		}
	}
}
