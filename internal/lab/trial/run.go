package trial

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"

	"foxtailcroft/internal/lab/flows"
	"foxtailcroft/internal/policy/evict"
	"foxtailcroft/internal/policy/keep"
	"foxtailcroft/internal/policy/permit"
	"foxtailcroft/internal/policy/place"
)

// Options are the mishaps of a trial.
type Options struct {
	// SlowFrom and SlowTo bound a time in which the weight store is four times slower.
	SlowFrom, SlowTo time.Duration
	// Reclaim is when one server is lost; 0 for never.
	Reclaim time.Duration
	// Deadline is how long a request waits for its first token at most.
	Deadline time.Duration
}

// slowFactor is how much slower a slowed weight store is.
const slowFactor = 4

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
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

// slot is a model's one slot and its replica.
type slot struct {
	model     int
	server    int
	phase     phase
	running   int
	idleSince time.Duration
	quiet     time.Duration
	used      bool
	queue     []flows.Arrival
	// serial tells timers of an earlier idle time from the current one.
	serial int
	// cached is how near the checkpoint is on the slot's server.
	cached time.Duration
	crowd  keep.Crowd
	next   int
}

// run is one trial under way.
type run struct {
	w       flows.Workload
	keeper  Keeper
	opt     Options
	now     time.Duration
	events  events
	order   int
	slots   []*slot
	free    []int64
	lost    map[int]bool
	desk    *permit.Desk
	wanting map[string]*slot
	began   time.Time
	waits   []time.Duration
	result  Result
	// arrivals lists each model's arrival times, for the clairvoyant.
	arrivals [][]time.Duration
	gaps     []keep.Gaps
}

// Run plays a workload under a keep-alive policy and sums what the users measure.
func Run(w flows.Workload, k Keeper, opt Options) Result {
	r := &run{
		w: w, keeper: k, opt: opt, lost: map[int]bool{}, wanting: map[string]*slot{}, began: time.Unix(0, 0),
		arrivals: make([][]time.Duration, len(w.Models)), gaps: make([]keep.Gaps, len(w.Models)),
	}
	r.desk = permit.NewDesk(permit.DefaultLimits(), r.began)
	r.result.Policy = k.Name()
	for range w.Deployment.Servers {
		r.free = append(r.free, w.Deployment.ServerBytes)
	}
	r.placeAll()
	for _, a := range w.Arrivals {
		r.arrivals[a.Model] = append(r.arrivals[a.Model], a.At)
		r.at(a.At, func() { r.arrive(a) })
	}
	if opt.Reclaim > 0 {
		r.at(opt.Reclaim, func() { r.reclaim(0) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > w.Length {
			break
		}
		r.now = e.at
		e.do()
	}
	r.now = w.Length
	for _, s := range r.slots {
		r.endIdle(s)
	}
	r.result.sum(r.waits, w.Deployment.Price)
	return r.result
}

func (r *run) at(t time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, event{max(t, r.now), r.order, do})
}

// placeAll gives every model a slot by the placement policy.
func (r *run) placeAll() {
	for i := range r.w.Models {
		s := &slot{model: i}
		r.slots = append(r.slots, s)
		r.place(s)
	}
}

// place chooses a server for a slot; a checkpoint starts out on disk on a third of the servers.
func (r *run) place(s *slot) {
	m := r.w.Models[s.model]
	var list []place.Endpoint
	for i := range r.w.Deployment.Servers {
		if r.lost[i] {
			continue
		}
		var promised int64
		for _, other := range r.slots {
			if other != s && other.server == i {
				promised += r.w.Models[other.model].Bytes
			}
		}
		near := 0
		if (s.model+i)%3 == 0 {
			near = 1
		}
		list = append(list, place.Endpoint{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % 3), MemoryBytes: r.w.Deployment.ServerBytes, Promised: promised, Near: near})
	}
	e, _ := place.Choose(place.Need{Model: m.Name, Bytes: m.Bytes}, list)
	// The names are the numbers of the servers.
	_, _ = fmt.Sscan(e.Name, &s.server)
	s.cached = m.Remote
	if (s.model+s.server)%3 == 0 {
		s.cached = m.Disk
	}
}

// arrive takes in one request.
func (r *run) arrive(a flows.Arrival) {
	r.result.Requests++
	s := r.slots[a.Model]
	s.next++
	quiet := s.running == 0 && len(s.queue) == 0
	s.crowd.Arrived(r.clock(), quiet, s.cached)
	if s.used && quiet {
		gap := r.now - s.quiet
		r.keeper.Arrived(a.Model, gap)
		r.gaps[a.Model].Observe(gap)
	}
	s.used = true
	if s.phase == loaded {
		r.begin(s, a)
		return
	}
	s.queue = append(s.queue, a)
	if s.phase == dormant {
		r.want(s)
	}
}

// begin runs a request on a loaded replica.
func (r *run) begin(s *slot, a flows.Arrival) {
	r.endIdle(s)
	s.running++
	r.at(r.now+a.Service, func() {
		s.running--
		if s.running == 0 && s.phase == loaded {
			s.quiet = r.now
			r.fallIdle(s)
		}
	})
}

// endIdle adds the idle time of a replica that is loaded and does nothing.
func (r *run) endIdle(s *slot) {
	if s.phase == loaded && s.running == 0 {
		r.result.IdleHours += (r.now - s.idleSince).Hours()
		s.idleSince = r.now
	}
}

func (r *run) costs(s *slot) keep.Costs {
	return keep.Costs{ColdWait: s.crowd.Wait(s.cached), Price: r.w.Deployment.Price, Max: keep.DefaultMax}
}

// fallIdle asks the policy what becomes of a replica that has nothing to do.
func (r *run) fallIdle(s *slot) {
	s.idleSince = r.now
	s.serial++
	serial := s.serial
	keepFor := r.keeper.Decide(s.model, r.costs(s), r.future(s))
	r.at(r.now+keepFor, func() { r.drop(s, serial) })
}

// future looks up a model's next arrivals.
func (r *run) future(s *slot) Future {
	coming := r.arrivals[s.model][s.next:]
	if len(coming) == 0 {
		return Future{Next: forever, Load: s.cached}
	}
	f := Future{Next: coming[0] - r.now, Load: s.cached}
	for _, at := range coming {
		since := at - coming[0]
		if since >= s.cached {
			break
		}
		f.Wait += s.cached - since
	}
	return f
}

// drop unloads an idle replica.
func (r *run) drop(s *slot, serial int) {
	if s.serial != serial || s.phase != loaded || s.running > 0 {
		return
	}
	r.unload(s)
}

func (r *run) unload(s *slot) {
	r.endIdle(s)
	s.phase = dormant
	r.free[s.server] += r.w.Models[s.model].Bytes
}

// want asks for a load, making room for it.
func (r *run) want(s *slot) {
	need := r.w.Models[s.model].Bytes - r.free[s.server]
	if need > 0 && !r.evict(s, need) {
		r.at(r.now+time.Second, func() {
			if s.phase == dormant && len(s.queue) > 0 {
				r.want(s)
			}
		})
		return
	}
	r.free[s.server] -= r.w.Models[s.model].Bytes
	s.phase = waiting
	rank := 2
	for _, a := range s.queue {
		if a.Urgent {
			rank = 0
		}
	}
	id := fmt.Sprint(s.model)
	r.wanting[id] = s
	r.desk.Add(permit.Ask{ID: id, Rank: rank, Deadline: r.clock().Add(r.opt.Deadline)})
	r.grant()
}

func (r *run) clock() time.Time { return r.began.Add(r.now) }

// grant begins the loads whose turn it is.
func (r *run) grant() {
	for _, a := range r.desk.Grant(r.clock()) {
		r.load(r.wanting[a.ID], a.ID)
	}
	if next := r.desk.Next(r.clock()); next > 0 {
		r.at(r.now+next, r.grant)
	}
}

func (r *run) load(s *slot, id string) {
	s.phase = loading
	r.result.Loads++
	took := s.cached
	if r.now >= r.opt.SlowFrom && r.now < r.opt.SlowTo {
		took *= slowFactor
	}
	server := s.server
	r.at(r.now+took, func() {
		r.desk.Return(id)
		r.grant()
		if s.phase == loading && s.server == server {
			r.loaded(s)
		}
	})
}

// loaded begins the requests that waited.
func (r *run) loaded(s *slot) {
	s.phase, s.idleSince = loaded, r.now
	// What was loaded once is on the server's disk from then on.
	s.cached = min(s.cached, r.w.Models[s.model].Disk)
	queue := s.queue
	s.queue = nil
	for _, a := range queue {
		wait := r.now - a.At
		if wait > r.opt.Deadline {
			r.result.Refused++
			continue
		}
		r.waits = append(r.waits, wait)
		r.begin(s, a)
	}
}

// horizon is how far ahead eviction looks, as in the agents.
const horizon = 2 * time.Minute

// evict frees memory on a server by the eviction policy.
func (r *run) evict(but *slot, need int64) bool {
	var list []evict.Candidate
	byName := map[string]*slot{}
	for _, s := range r.slots {
		if s != but && s.server == but.server && s.phase == loaded && s.running == 0 {
			name := fmt.Sprint(s.model)
			byName[name] = s
			list = append(list, evict.Candidate{
				Name: name, Bytes: r.w.Models[s.model].Bytes, ColdStart: s.cached, LastUsed: r.began.Add(s.idleSince),
				WantedSoon: r.gaps[s.model].ShareWithin(r.now-s.quiet, horizon),
			})
		}
	}
	chosen := evict.Choose(list, need)
	for _, name := range chosen {
		r.unload(byName[name])
	}
	return chosen != nil
}

// reclaim loses a server: its replicas are gone and its slots move.
func (r *run) reclaim(server int) {
	r.lost[server] = true
	for _, s := range r.slots {
		if s.server != server {
			continue
		}
		r.endIdle(s)
		id := fmt.Sprint(s.model)
		r.desk.Drop(id)
		r.desk.Return(id)
		s.phase = dormant
		s.serial++
		r.place(s)
		if len(s.queue) > 0 {
			r.want(s)
		}
	}
}
