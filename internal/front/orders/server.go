package orders

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/fade"
)

// server is what the planner believes of one incarnation of a model server.
// All fields but turn belong to the planner's lock.
type server struct {
	inst site.Instance
	// turn holds a token while an order is given, so that orders go out one at a time.
	turn chan struct{}
	// changed is closed when what it holds may have changed.
	changed chan struct{}
	// known is false until a report was read.
	known    bool
	sequence int64
	busy     bool
	models   map[string]*held
	adapters map[site.Adapter]*held
	onDisk   []string
	inMemory []string
	// running counts the requests that run or wait, by the report that came in at reported.
	running  int
	reported time.Time
	// pauses is the longest pause of streams there.
	pauses fade.Peak
	// awaited is the model that the running job will load, and readyAt the forecast for it.
	awaited string
	readyAt time.Time
	engaged bool
	// evicting are the models that the running job unloads.
	evicting []string
	// lost is set while the server does not take connections.
	lost bool
	// asked is when its report was last asked for.
	asked time.Time
	// resync is set when the server refused an order for its number: the next
	// report is believed even if it counts fewer orders.
	resync bool
	// restsUntil is until when no order is given, after one that was refused.
	restsUntil time.Time
	// uncertain is set when an order's answer was lost: nothing is ordered until a report has been read.
	uncertain bool
}

// held is a model or adapter in a server's memory.
type held struct {
	since   time.Time
	lastUse time.Time
	// leaving is set once its unload was ordered.
	leaving bool
}

func newServer(in site.Instance) *server {
	return &server{inst: in, turn: make(chan struct{}, 1), changed: make(chan struct{}), models: map[string]*held{}, adapters: map[site.Adapter]*held{}}
}

// take updates the belief by a report unless it is older than the orders that
// were accepted since. Reports lag: one that counts the same orders may have been
// made before what an announcement has shown, so it adds to what is held, and
// takes away only what was ordered to leave.
func (s *server) take(r site.Report, now time.Time) bool {
	if s.replaced(r) || s.known && !s.resync && r.Sequence < s.sequence {
		return false
	}
	same := s.known && !s.resync && r.Sequence == s.sequence
	busy := r.Busy && (!same || s.busy)
	since := now
	if !s.known {
		// What the first report lists was there before.
		since = now.Add(-heldBefore)
	}
	models := map[string]*held{}
	for _, m := range r.Models {
		models[m] = keptOr(s.models[m], since)
	}
	adapters := map[site.Adapter]*held{}
	for _, a := range r.Adapters {
		adapters[a] = keptOr(s.adapters[a], since)
	}
	if same {
		keepHeld(models, s.models, r.Busy)
		keepHeld(adapters, s.adapters, r.Busy)
	}
	s.models, s.adapters = models, adapters
	s.known, s.sequence, s.busy, s.uncertain, s.resync = true, r.Sequence, busy, false, false
	s.running, s.reported = r.Running+r.Waiting, now
	s.onDisk, s.inMemory = r.OnDisk, r.InMemory
	s.settled()
	s.renew()
	return true
}

// renew notifies those who wait for a change.
func (s *server) renew() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// settled forgets a load of another planner that has ended; own loads end with their engagement.
func (s *server) settled() {
	if !s.busy && !s.engaged {
		s.awaited = ""
	}
}

// heldBefore is how old something counts that was found at a server.
const heldBefore = 10 * time.Second

// replaced reports whether a report comes from another start than the one that is meant.
func (s *server) replaced(r site.Report) bool {
	return r.Born != 0 && s.inst.Born != 0 && r.Born != s.inst.Born
}

// keepHeld adds to what a report lists all that is held, also what leaves while that is under way.
func keepHeld[K comparable](listed, before map[K]*held, busy bool) {
	for k, h := range before {
		if listed[k] == nil && (!h.leaving || busy) {
			listed[k] = h
		}
	}
}

func keptOr(h *held, now time.Time) *held {
	if h != nil {
		return h
	}
	return &held{since: now, lastUse: now}
}

// serves reports whether a target is loaded and stays.
func (s *server) serves(t site.Adapter) bool {
	m := s.models[t.Model]
	if m == nil || m.leaving || s.inst.Leaving || s.lost {
		return false
	}
	if t.Name == "" {
		return true
	}
	a := s.adapters[t]
	return a != nil && !a.leaving && time.Since(a.since) >= adapterTime
}

// admits reports whether an order may go out on what is believed at this
// number of accepted orders: one at a time, and never more than fits. A server
// whose number differs refuses the order, so what was checked here is what it holds.
func (s *server) admits(o site.Order, e *site.Engine) bool {
	if !s.known || s.lost || s.busy || s.uncertain || s.inst.Leaving || e == nil {
		return false
	}
	m := e.Model(o.Target.Model)
	switch {
	case m == nil:
		return false
	case o.Unload && o.Target.Name != "":
		return s.adapters[o.Target] != nil
	case o.Unload:
		return s.models[m.Name] != nil
	case o.Target.Name != "":
		return s.models[m.Name] != nil && len(s.adapters) < e.AdapterPlaces && s.usedMB(e)+m.AdapterMB <= e.WeightsMB
	}
	return s.usedMB(e)+m.SizeMB <= e.WeightsMB
}

// free reports whether an order may be given now.
func (s *server) free() bool {
	return s.known && !s.lost && !s.busy && !s.engaged && !s.uncertain && !s.inst.Leaving && !time.Now().Before(s.restsUntil)
}

// adapterStays is how long an adapter stays after it was loaded or given to a
// request, so that the request arrives and its front has reported the use.
const adapterStays = 700 * time.Millisecond

// freeIn forecasts when an engaged server takes orders again; negative if its state is not known.
func (s *server) freeIn(now time.Time) time.Duration {
	if !s.known || s.lost || s.uncertain || s.inst.Leaving || !s.engaged && s.awaited == "" {
		return -1
	}
	return max(s.readyAt.Sub(now), overrun)
}

// overrun is the forecast for what should have ended already.
const overrun = 200 * time.Millisecond

// oldest returns the adapter that was unused for longest, and since when; those in use or about to be are passed over.
func (s *server) oldest(now time.Time, inUse func(site.Key, site.Adapter) int) (site.Adapter, time.Time, bool) {
	var best site.Adapter
	var at time.Time
	for a, h := range s.adapters {
		if h.leaving || now.Sub(h.lastUse) < adapterStays || inUse(s.inst.Key, a) > 0 {
			continue
		}
		if at.IsZero() || h.lastUse.Before(at) {
			best, at = a, h.lastUse
		}
	}
	return best, at, !at.IsZero()
}

// usedMB sums the sizes of what the server holds.
func (s *server) usedMB(e *site.Engine) float64 {
	sum := 0.0
	for name := range s.models {
		if m := e.Model(name); m != nil {
			sum += m.SizeMB
		}
	}
	for a := range s.adapters {
		if m := e.Model(a.Model); m != nil {
			sum += m.AdapterMB
		}
	}
	return sum
}

// modelNames returns the models that are loaded and stay, ordered.
func (s *server) modelNames() []string {
	var out []string
	for name, h := range s.models {
		if !h.leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
