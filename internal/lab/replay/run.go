package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"

	"foxtailcroft/internal/lab/traces"
	"foxtailcroft/internal/policy/evict"
	"foxtailcroft/internal/policy/idle"
	"foxtailcroft/internal/policy/permit"
	"foxtailcroft/internal/policy/place"
)

// Options configure the faults of a trial and the deadline of its requests.
type Options struct {
	// SlowStoreFrom and SlowStoreTo bound the time in which loads take
	// slowStoreFactor times as long.
	SlowStoreFrom, SlowStoreTo time.Duration
	// ReclaimAt is when one server is lost; 0 for never.
	ReclaimAt time.Duration
	// FirstTokenDeadline bounds how long a request waits for its first token.
	FirstTokenDeadline time.Duration
}

// slowStoreFactor multiplies load times while the weight store is slow.
const slowStoreFactor = 4

// event is a callback scheduled for a simulated time.
type event struct {
	at time.Duration
	// seq keeps events of the same time in the order in which they were scheduled.
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type phase int

const (
	dormant phase = iota
	waiting
	loading
	loaded
)

// slot is the single slot of a model, with its replica and queued requests.
type slot struct {
	model   int
	server  int
	phase   phase
	running int
	// idleSince is the time up to which idle time is in IdleHours, and
	// quietSince the time when the last request ended.
	idleSince   time.Duration
	quietSince  time.Duration
	hasArrivals bool
	queue       []traces.Arrival
	// idlePeriod is a counter that tells unload timers of earlier idle periods
	// from that of the current one.
	idlePeriod int
	// loadTime depends on where the slot's server finds the checkpoint.
	loadTime     time.Duration
	coldWaits    idle.BurstWait
	arrivalCount int
}

// simulation is the state of one trial.
type simulation struct {
	workload     traces.Trace
	policy       KeepAlivePolicy
	options      Options
	now          time.Duration
	events       eventQueue
	scheduled    int
	slots        []*slot
	freeBytes    []int64
	lostServers  map[int]bool
	loadQueue    *permit.Limiter
	pendingLoads map[string]*slot
	startTime    time.Time
	coldWaits    []time.Duration
	result       Result
	// arrivals lists each model's arrival times, for Future.
	arrivals [][]time.Duration
	gaps     []idle.Gaps
}

// Run simulates a workload under a keep-alive policy and returns its metrics.
func Run(w traces.Trace, k KeepAlivePolicy, options Options) Result {
	r := &simulation{
		workload: w, policy: k, options: options, lostServers: map[int]bool{}, pendingLoads: map[string]*slot{}, startTime: time.Unix(0, 0),
		arrivals: make([][]time.Duration, len(w.Models)), gaps: make([]idle.Gaps, len(w.Models)),
	}
	r.loadQueue = permit.NewLimiter(permit.DefaultLimits(), r.startTime)
	r.result.Policy = k.Name()
	for range w.Deployment.Servers {
		r.freeBytes = append(r.freeBytes, w.Deployment.ServerBytes)
	}
	r.placeModels()
	for _, a := range w.Arrivals {
		r.arrivals[a.Model] = append(r.arrivals[a.Model], a.At)
		r.schedule(a.At, func() { r.arrive(a) })
	}
	if options.ReclaimAt > 0 {
		r.schedule(options.ReclaimAt, func() { r.reclaim(0) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > w.Length {
			break
		}
		r.now = e.at
		e.run()
	}
	r.now = w.Length
	for _, s := range r.slots {
		r.endIdle(s)
	}
	r.result.summarize(r.coldWaits, w.Deployment.ColdStartPrice)
	return r.result
}

func (r *simulation) schedule(t time.Duration, do func()) {
	r.scheduled++
	heap.Push(&r.events, event{max(t, r.now), r.scheduled, do})
}

// placeModels gives every model a slot on a server.
func (r *simulation) placeModels() {
	for i := range r.workload.Models {
		s := &slot{model: i}
		r.slots = append(r.slots, s)
		r.place(s)
	}
}

// place chooses a server for a slot by the placement policy. Each checkpoint
// starts on the disks of a third of the servers.
func (r *simulation) place(s *slot) {
	m := r.workload.Models[s.model]
	var candidates []place.Endpoint
	for i := range r.workload.Deployment.Servers {
		if r.lostServers[i] {
			continue
		}
		var reservedBytes int64
		for _, other := range r.slots {
			if other != s && other.server == i {
				reservedBytes += r.workload.Models[other.model].Bytes
			}
		}
		checkpointTier := 0
		if (s.model+i)%3 == 0 {
			checkpointTier = 1
		}
		candidates = append(candidates, place.Endpoint{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % 3), MemoryBytes: r.workload.Deployment.ServerBytes, ReservedBytes: reservedBytes, CheckpointTier: checkpointTier})
	}
	e, _ := place.Choose(place.Request{Model: m.Name, Bytes: m.Bytes}, candidates)
	// Endpoint names are server numbers, so the scan cannot fail.
	_, _ = fmt.Sscan(e.Name, &s.server)
	s.loadTime = m.FromStore
	if (s.model+s.server)%3 == 0 {
		s.loadTime = m.FromDisk
	}
}

// arrive starts a request or queues it until its model is loaded.
func (r *simulation) arrive(a traces.Arrival) {
	r.result.Requests++
	s := r.slots[a.Model]
	s.arrivalCount++
	wasQuiet := s.running == 0 && len(s.queue) == 0
	s.coldWaits.Arrival(r.policyTime(), wasQuiet, s.loadTime)
	if s.hasArrivals && wasQuiet {
		gap := r.now - s.quietSince
		r.policy.ObserveGap(a.Model, gap)
		r.gaps[a.Model].Observe(gap)
	}
	s.hasArrivals = true
	if s.phase == loaded {
		r.startRequest(s, a)
		return
	}
	s.queue = append(s.queue, a)
	if s.phase == dormant {
		r.requestLoad(s)
	}
}

// startRequest runs a request on a loaded replica.
func (r *simulation) startRequest(s *slot, a traces.Arrival) {
	r.endIdle(s)
	s.running++
	r.schedule(r.now+a.ServiceTime, func() {
		s.running--
		if s.running == 0 && s.phase == loaded {
			s.quietSince = r.now
			r.startIdle(s)
		}
	})
}

// endIdle adds the time since idleSince to IdleHours if the replica is loaded
// and runs no request.
func (r *simulation) endIdle(s *slot) {
	if s.phase == loaded && s.running == 0 {
		r.result.IdleHours += (r.now - s.idleSince).Hours()
		s.idleSince = r.now
	}
}

func (r *simulation) keepAliveCosts(s *slot) idle.Costs {
	return idle.Costs{ColdWait: s.coldWaits.Wait(s.loadTime), ColdStartPrice: r.workload.Deployment.ColdStartPrice, MaxKeepAlive: idle.DefaultMaxKeepAlive}
}

// startIdle schedules the unload of an idle replica at the time that the
// keep-alive policy decides.
func (r *simulation) startIdle(s *slot) {
	s.idleSince = r.now
	s.idlePeriod++
	idlePeriod := s.idlePeriod
	keepFor := r.policy.KeepAlive(s.model, r.keepAliveCosts(s), r.futureArrivals(s))
	r.schedule(r.now+keepFor, func() { r.unloadIfStillIdle(s, idlePeriod) })
}

// futureArrivals summarizes the arrivals of a model after now.
func (r *simulation) futureArrivals(s *slot) Future {
	upcoming := r.arrivals[s.model][s.arrivalCount:]
	if len(upcoming) == 0 {
		return Future{NextArrival: forever, LoadTime: s.loadTime}
	}
	f := Future{NextArrival: upcoming[0] - r.now, LoadTime: s.loadTime}
	for _, at := range upcoming {
		since := at - upcoming[0]
		if since >= s.loadTime {
			break
		}
		f.TotalWait += s.loadTime - since
	}
	return f
}

// unloadIfStillIdle unloads a replica unless it has run a request or moved
// since the idle period.
func (r *simulation) unloadIfStillIdle(s *slot, idlePeriod int) {
	if s.idlePeriod != idlePeriod || s.phase != loaded || s.running > 0 {
		return
	}
	r.unload(s)
}

func (r *simulation) unload(s *slot) {
	r.endIdle(s)
	s.phase = dormant
	r.freeBytes[s.server] += r.workload.Models[s.model].Bytes
}

// requestLoad reserves memory for a load, evicting if necessary, and queues
// the load. It retries after a second if there is no room.
func (r *simulation) requestLoad(s *slot) {
	needBytes := r.workload.Models[s.model].Bytes - r.freeBytes[s.server]
	if needBytes > 0 && !r.makeRoom(s, needBytes) {
		r.schedule(r.now+time.Second, func() {
			if s.phase == dormant && len(s.queue) > 0 {
				r.requestLoad(s)
			}
		})
		return
	}
	r.freeBytes[s.server] -= r.workload.Models[s.model].Bytes
	s.phase = waiting
	// Rank 0 is that of urgent requests, and 2 that of all others.
	rank := 2
	for _, a := range s.queue {
		if a.Urgent {
			rank = 0
		}
	}
	id := fmt.Sprint(s.model)
	r.pendingLoads[id] = s
	r.loadQueue.Enqueue(permit.Request{ID: id, Rank: rank, Deadline: r.policyTime().Add(r.options.FirstTokenDeadline)})
	r.startGrantedLoads()
}

func (r *simulation) policyTime() time.Time { return r.startTime.Add(r.now) }

// startGrantedLoads starts the loads that the load queue admits now.
func (r *simulation) startGrantedLoads() {
	for _, a := range r.loadQueue.Grant(r.policyTime()) {
		r.startLoad(r.pendingLoads[a.ID], a.ID)
	}
	if next := r.loadQueue.RetryIn(r.policyTime()); next > 0 {
		r.schedule(r.now+next, r.startGrantedLoads)
	}
}

func (r *simulation) startLoad(s *slot, id string) {
	s.phase = loading
	r.result.Loads++
	loadTime := s.loadTime
	if r.now >= r.options.SlowStoreFrom && r.now < r.options.SlowStoreTo {
		loadTime *= slowStoreFactor
	}
	server := s.server
	r.schedule(r.now+loadTime, func() {
		r.loadQueue.Release(id)
		r.startGrantedLoads()
		if s.phase == loading && s.server == server {
			r.finishLoad(s)
		}
	})
}

// finishLoad marks a replica as loaded and starts the queued requests that are
// within their deadline.
func (r *simulation) finishLoad(s *slot) {
	s.phase, s.idleSince = loaded, r.now
	// A loaded checkpoint stays on the server's disk.
	s.loadTime = min(s.loadTime, r.workload.Models[s.model].FromDisk)
	queue := s.queue
	s.queue = nil
	for _, a := range queue {
		wait := r.now - a.At
		if wait > r.options.FirstTokenDeadline {
			r.result.Refused++
			continue
		}
		r.coldWaits = append(r.coldWaits, wait)
		r.startRequest(s, a)
	}
}

// evictionHorizon is the time within which eviction forecasts the next arrival,
// the same as in the agents.
const evictionHorizon = 2 * time.Minute

// makeRoom unloads idle replicas on the server of target by the eviction policy
// until needBytes more are free; it returns false if that is impossible.
func (r *simulation) makeRoom(target *slot, needBytes int64) bool {
	var candidates []evict.Candidate
	byName := map[string]*slot{}
	for _, s := range r.slots {
		if s != target && s.server == target.server && s.phase == loaded && s.running == 0 {
			name := fmt.Sprint(s.model)
			byName[name] = s
			candidates = append(candidates, evict.Candidate{
				Name: name, Bytes: r.workload.Models[s.model].Bytes, ColdStart: s.loadTime, LastUsed: r.startTime.Add(s.idleSince),
				ReuseProbability: r.gaps[s.model].ShareWithin(r.now-s.quietSince, evictionHorizon),
			})
		}
	}
	chosen := evict.Choose(candidates, needBytes)
	for _, name := range chosen {
		r.unload(byName[name])
	}
	return chosen != nil
}

// reclaim removes a server: its replicas are lost and its slots are placed elsewhere.
func (r *simulation) reclaim(server int) {
	r.lostServers[server] = true
	for _, s := range r.slots {
		if s.server != server {
			continue
		}
		r.endIdle(s)
		id := fmt.Sprint(s.model)
		r.loadQueue.Cancel(id)
		r.loadQueue.Release(id)
		s.phase = dormant
		s.idlePeriod++
		r.place(s)
		if len(s.queue) > 0 {
			r.requestLoad(s)
		}
	}
}
