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
}

// Input is all that a decision depends on.
type Input struct {
	Engine  *site.Engine
	Servers []Server
	Wants   []Want
	// Demand is what is asked of each model.
	Demand map[string]Demand
	// Keep forbids evictions.
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
	d := &decision{Input: in, used: map[string]bool{}, chosen: map[string]bool{}}
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

// goal is a copy that is to be had.
type goal struct {
	want Want
	// limit is the waiting in seconds that the copy may cost others.
	limit float64
	// saves ranks goals that compete for the weight store.
	saves float64
	// more is set if the model has copies already.
	more bool
}

// decision is a decision in the making.
type decision struct {
	Input
	// used are the servers that have an action, and chosen the models.
	used    map[string]bool
	chosen  map[string]bool
	actions []Action
}

// take adds an action.
func (d *decision) take(a Action) {
	d.used[a.Server], d.chosen[a.Load] = true, true
	if a.Source == FromStore {
		d.StoreLoads--
		d.Loading++
	}
	d.actions = append(d.actions, a)
}

// try takes the cheapest way to a goal if it costs less than its limit; the
// weights come from a source at least as fast as the slowest one allowed.
func (d *decision) try(g goal, slowest Source) {
	if d.chosen[g.want.Model] || !g.more && d.awaited(g.want.Model) {
		return
	}
	best, cost, ok := d.best(g.want, slowest)
	if slowest == FromStore && !g.more {
		if later, sooner := d.later(g.want.Model); sooner && (!ok || later.Takes < best.Takes) {
			d.chosen[later.Load] = true
			d.actions = append(d.actions, later)
			return
		}
	}
	if ok && cost < g.limit {
		d.take(best)
	}
}

// later returns what an engaged server with a model's weights at hand can do once it is free.
func (d *decision) later(name string) (best Action, ok bool) {
	model := d.Engine.Model(name)
	if model == nil {
		return Action{}, false
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if !s.Engaged || s.FreeIn < 0 {
			continue
		}
		if source, takes := d.load(s, model); source > FromStore && (!ok || s.FreeIn+takes < best.Takes) {
			best, ok = Action{Server: s.ID, Load: name, Source: source, Takes: s.FreeIn + takes, Later: true}, true
		}
	}
	return best, ok
}

// fetches orders what is worth a load from the weight store by the requests that
// it saves: all of a wanted model that nobody has, and those that copies of busy ones spare waiting.
func (d *decision) fetches(shorts []goal) []goal {
	out := slices.Clone(shorts)
	for _, w := range d.Wants {
		out = append(out, goal{want: w, limit: math.Inf(1), saves: absent * max(w.Weight, d.Demand[w.Model].Rate*horizon.Seconds())})
	}
	slices.SortStableFunc(out, func(a, b goal) int { return cmp.Compare(b.saves, a.saves) })
	return out
}

// shorts are the models that one more copy spares waiting, the most urgent first.
func (d *decision) shorts() []goal {
	var list []goal
	for model, asked := range d.Demand {
		have := d.copies(model)
		if have <= 0 || have >= float64(len(d.Servers)) || d.Engine.Model(model) == nil {
			continue
		}
		gain := d.shared(asked, have) - d.shared(asked, have+1) + pauses*d.slowest(model)*asked.Rate*horizon.Seconds()
		if gain > leastGain {
			list = append(list, goal{want: Want{Model: model}, limit: gain, saves: gain, more: true})
		}
	}
	slices.SortFunc(list, func(a, b goal) int {
		return cmp.Or(cmp.Compare(b.saves, a.saves), cmp.Compare(a.want.Model, b.want.Model))
	})
	return list
}

// absent is the waiting in seconds that counts for a request that is not served: longer waits are given up.
const absent = 3.0

// awaited reports whether a server is about to have a model.
func (d *decision) awaited(model string) bool {
	return slices.ContainsFunc(d.Servers, func(s Server) bool { return s.Awaited == model })
}

// cover loads models that no server has where there is room for them, so that
// a first request finds them; from the weight store one at a time and only
// while nothing is wanted.
func (d *decision) cover() {
	for i := range d.Engine.Models {
		model := &d.Engine.Models[i]
		if d.copies(model.Name) > 0 || d.wanted(model.Name) {
			continue
		}
		// A place at the weight store is kept for what may be wanted next.
		fromStore := d.Loading == 0 && len(d.Wants) == 0 && !d.Keep && (d.AtOnce > 1 || len(d.Demand) == 0)
		var best Action
		for j := range d.Servers {
			s := &d.Servers[j]
			if s.Engaged || d.used[s.ID] {
				continue
			}
			a, _, ok := d.at(s, model, Want{Model: model.Name})
			if ok && len(a.Evict) == 0 && (a.Source != FromStore || fromStore) && (best.Server == "" || a.Takes < best.Takes) {
				best = a
			}
		}
		if best.Server != "" {
			d.take(best)
		}
	}
}

// leastGain is the waiting in seconds from which one more copy of a model is looked for.
const leastGain = 1.0

// copies counts the servers that have a model or are about to; slow ones count in part.
func (in *Input) copies(model string) float64 {
	n := 0.0
	for i := range in.Servers {
		s := &in.Servers[i]
		if s.has(model) {
			n += s.worth()
		}
	}
	return n
}

// slowest returns how slow the best of a model's copies is.
func (in *Input) slowest(model string) float64 {
	least := 1.0
	for i := range in.Servers {
		s := &in.Servers[i]
		if s.has(model) {
			least = min(least, s.Slow)
		}
	}
	return least
}

// has reports whether a server has a model or is about to.
func (s *Server) has(model string) bool {
	return s.Awaited == model || slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model })
}

// worth is what a copy there counts for.
func (s *Server) worth() float64 {
	return 1 - slowLoss*s.Slow
}

// slowLoss is the part of a copy's use that is lost at a server where streams pause for too long.
const slowLoss = 0.5

// best returns the cheapest way to a model and its cost; ok is false if nothing fits.
func (d *decision) best(w Want, slowest Source) (best Action, least float64, ok bool) {
	model := d.Engine.Model(w.Model)
	if model == nil {
		return Action{}, 0, false
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if s.Engaged || d.used[s.ID] {
			continue
		}
		a, cost, fits := d.at(s, model, w)
		if fits && a.Source >= slowest && (!ok || cost < least) {
			best, least, ok = a, cost, true
		}
	}
	return best, least, ok
}

func (in *Input) wanted(model string) bool {
	return slices.ContainsFunc(in.Wants, func(w Want) bool { return w.Model == model })
}
