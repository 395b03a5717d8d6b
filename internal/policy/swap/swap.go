package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// Copy is a model that a server holds.
type Copy struct {
	Model    string
	InFlight int
	// Age is the time since it was loaded, and Idle that since its last use.
	Age  time.Duration
	Idle time.Duration
}

// Server is a model server as the planner believes it to be.
type Server struct {
	ID     string
	Copies []Copy
	// Engaged servers carry out an order, or their state is not known; they get none.
	Engaged bool
	// FreeIn is the forecast for when an engaged server can take an action, negative if not known.
	FreeIn time.Duration
	// Awaited is the model that an engaged server is about to have.
	Awaited  string
	OnDisk   []string
	InMemory []string
	// Slow is the chance, 0 to 1, that a long prompt makes the streams there pause for too long.
	Slow float64
}

// Want is a model that requests wait for.
type Want struct {
	Model string
	// Weight is what a second of waiting costs, such as the number of requests that wait.
	Weight float64
	// Waited is how long the first of them has waited.
	Waited time.Duration
}

// Input is all that a decision depends on.
type Input struct {
	Engine  *site.Engine
	Servers []Server
	Wants   []Want
	// Demand is what is asked of each model.
	Demand map[string]Demand
	// Keep forbids evictions, and loads from the weight store of what a server
	// has at hand or may have, while too little is known.
	Keep bool
	// StoreLoads is the number of loads from the weight store that may begin now, and Loading those that run.
	StoreLoads int
	Loading    int
	// AtOnce is how many loads from the weight store are believed to run at full speed side by side.
	AtOnce int
}

// Demand is what is asked of a model.
type Demand struct {
	// Rate is requests a second.
	Rate float64
	// Each is the time that a server takes to read the prompt of one of them, 0 if not known.
	Each time.Duration
	// Adapters is the number of its adapters in use.
	Adapters int
}

// Action makes a server unload models and then load one.
type Action struct {
	Server string
	Evict  []string
	Load   string
	// Source tells where the weights come from.
	Source Source
	// Takes is the forecast until the model serves.
	Takes time.Duration
	// Later marks a forecast: the server is engaged, and is to be decided on again once it is free.
	Later bool
}

// Source is where a server finds weights.
type Source int

// The sources of weights, slowest first.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// Decide returns at most one action for each server and each model: wanted
// models and copies of busy ones from servers' own memory or disk, then loads from the
// weight store in the order of what they gain, then models that no server has. A model is
// not loaded from the store if an engaged server that has its weights will have it sooner.
func Decide(in Input) []Action {
	slices.SortStableFunc(in.Wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Model, b.Model))
	})
	d := newDecision(in)
	for _, w := range d.Wants {
		d.try(goal{want: w, limit: math.Inf(1)}, FromDisk)
	}
	shorts := d.shorts()
	for _, g := range shorts {
		d.try(g, FromDisk)
	}
	for _, g := range d.fetches(shorts) {
		d.try(g, FromStore)
	}
	d.cover()
	return d.actions
}

// decision is a decision in the making.
type decision struct {
	Input
	index
	// used are the servers that have an action, and chosen the models.
	used    map[string]bool
	chosen  map[string]bool
	actions []Action
}

func newDecision(in Input) *decision {
	return &decision{Input: in, index: newIndex(&in), used: map[string]bool{}, chosen: map[string]bool{}}
}

// take adds an action.
func (d *decision) take(s *Server, a Action) {
	d.used[a.Server], d.chosen[a.Load] = true, true
	if a.Source == FromStore {
		d.StoreLoads--
		d.Loading++
	}
	for _, m := range a.Evict {
		d.of(m).serving -= s.worth()
	}
	d.actions = append(d.actions, a)
}

// try takes the cheapest way to a goal if it costs less than its limit; the
// weights come from a source at least as fast as the slowest one allowed.
func (d *decision) try(g goal, slowest Source) {
	if d.chosen[g.want.Model] || !g.more && d.of(g.want.Model).coming > 0 {
		return
	}
	if d.Keep && slowest == FromStore && (d.unknown > 0 || d.of(g.want.Model).anywhere) {
		return
	}
	best, s, cost := d.best(g.want, slowest)
	if slowest == FromStore && !g.more {
		if later, sooner := d.later(g.want); sooner && (s == nil || later.Takes < best.Takes) {
			d.chosen[later.Load] = true
			d.actions = append(d.actions, later)
			return
		}
	}
	if s != nil && cost < g.limit {
		d.take(s, best)
	}
}

// best returns the cheapest way to a model, its server and its cost; the server is nil if nothing fits.
func (d *decision) best(w Want, slowest Source) (best Action, at *Server, least float64) {
	model := d.catalogue[w.Model]
	if model == nil {
		return Action{}, nil, 0
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if s.Engaged || d.used[s.ID] {
			continue
		}
		a, cost, fits := d.at(s, model, w, slowest)
		if fits && (at == nil || cost < least) {
			best, at, least = a, s, cost
		}
	}
	return best, at, least
}

// later returns what a server with a model's weights at hand can do once it is free and has room.
// Room that requests take longer to leave than forecast is not waited for again and again.
func (d *decision) later(w Want) (best Action, ok bool) {
	model := d.catalogue[w.Model]
	if model == nil {
		return Action{}, false
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		source, takes := d.load(s, model)
		if source == FromStore || s.Engaged && s.FreeIn < 0 || !s.Engaged && w.Waited > roomPatience || s.holds(w.Model) {
			continue
		}
		wait, fits := d.roomIn(s, model)
		if takes += max(wait, s.FreeIn); fits && (!ok || takes < best.Takes) {
			best, ok = Action{Server: s.ID, Load: w.Model, Source: source, Takes: takes, Later: true}, true
		}
	}
	return best, ok
}

// cover loads models that no server has where there is room for them, so that
// a first request finds them; from the weight store one at a time and only
// while nothing is wanted.
func (d *decision) cover() {
	for i := range d.Engine.Models {
		model := &d.Engine.Models[i]
		if m := d.of(model.Name); m.serving > 0 || m.coming > 0 || m.wanted || d.chosen[model.Name] {
			continue
		}
		// A place at the weight store is kept for what may be wanted next.
		slowest := FromDisk
		if d.Loading == 0 && len(d.Wants) == 0 && !d.Keep && (d.AtOnce > 1 || len(d.Demand) == 0) {
			slowest = FromStore
		}
		if a, s := d.spare(model, slowest); s != nil {
			d.take(s, a)
		}
	}
}

// spare returns the quickest way to a model at a server that has room for it; the server is nil if none has.
func (d *decision) spare(model *site.Model, slowest Source) (best Action, at *Server) {
	for i := range d.Servers {
		s := &d.Servers[i]
		if s.Engaged || d.used[s.ID] || d.free(s) < model.SizeMB+d.reserve(s, model) {
			continue
		}
		a, _, ok := d.at(s, model, Want{Model: model.Name}, slowest)
		if ok && (at == nil || a.Takes < best.Takes) {
			best, at = a, s
		}
	}
	return best, at
}
