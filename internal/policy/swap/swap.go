package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// Copy is one model loaded on a server.
type Copy struct {
	Model string
	// InFlight is the number of requests running on the copy.
	InFlight int
	// Age is the time since the load, and Idle the time since the last use.
	Age  time.Duration
	Idle time.Duration
}

// Server is the planner's view of a model server.
type Server struct {
	ID     string
	Copies []Copy
	// Busy is set while the server carries out an order or its state is not known; it then gets no new order.
	Busy bool
	// FreeIn is the forecast time until a busy server can take an action, negative if not known.
	FreeIn time.Duration
	// Reserved are the models that the server may still load though no order has been answered, and that
	// room is kept for. The server rules out those in Replaceable with the next order that it accepts.
	Reserved    []string
	Replaceable []string
	// Settling is set if some of Reserved will soon be loaded or ruled out, so that nothing is evicted for them.
	Settling bool
	// Loading is the model that a busy server is loading, empty if none.
	Loading string
	// OnDisk and InMemory are the models whose weights are on the server's disk and in its main memory.
	OnDisk   []string
	InMemory []string
	// PauseRisk is the probability, 0 to 1, that a long prompt makes streams on this server pause for too long.
	PauseRisk float64
	// MaxRate is the number of requests a second that the server takes, 0 for any.
	MaxRate float64
}

// Want is a model with waiting requests.
type Want struct {
	Model string
	// Weight is the cost of a second of waiting, such as the number of waiting requests.
	Weight float64
	// Waited is the time that the oldest request has waited.
	Waited time.Duration
}

// Input holds everything that a decision depends on.
type Input struct {
	Engine  *site.Engine
	Servers []Server
	Wants   []Want
	// Departed are the models without waiting requests whose last server leaves or has left.
	// Want.Weight is not used.
	Departed []Want
	// Groups are the models that too few servers of a group hold.
	Groups []GroupWant
	// Demand holds the recent demand by model.
	Demand map[string]Demand
	// Conservative forbids evictions, and loads from the weight store of models whose
	// weights a server has or, while its state is unknown, may have. The planner
	// sets it while it knows too little.
	Conservative bool
	// StoreLoadsLeft is the number of loads from the weight store that may begin now, and StoreLoadsRunning the number running.
	StoreLoadsLeft    int
	StoreLoadsRunning int
	// AheadStoreLoadsLeft is how many of StoreLoadsLeft may be for models for which no request waits.
	AheadStoreLoadsLeft int
	// StoreConcurrency is the estimated number of concurrent loads that the weight store serves at full speed.
	StoreConcurrency int
}

// Demand is the recent demand for a model.
type Demand struct {
	// Rate is the number of requests per second.
	Rate float64
	// Value is the value of a request relative to the most valuable ones, 0 for 1.
	Value float64
	// PrefillTime is the prefill time per request, 0 if not known.
	PrefillTime time.Duration
	// ActiveAdapters is the number of the model's adapters in use.
	ActiveAdapters int
}

// Action is an order to a server to unload the models in Evict and then load one.
type Action struct {
	Server string
	Evict  []string
	Load   string
	// Source is where the weights are loaded from.
	Source Source
	// ReadyIn is the forecast time until the model serves.
	ReadyIn time.Duration
	// Deferred marks a deferred load: the server is busy or has no room yet, and the load is decided again once that changes.
	Deferred bool
	// Ahead marks the load of a departed model or of a second copy in a group, for which no request waits.
	Ahead bool
}

// Source is the place from which a server loads weights.
type Source int

// The sources of weights, slowest first.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// Decide returns at most one action for each model and, deferred loads aside,
// for each server. It plans wanted models and extra copies of busy models from
// servers' memory or disk first, then loads from the weight store by the waiting
// they save, then models that no server holds. A wanted model is not loaded from
// the store if a server that has its weights is forecast to serve it sooner. Groups come after
// the wanted models. Departed models come next and compete with extra copies.
// Decide sorts in.Wants by weight and in.Groups by requests, largest first.
func Decide(in Input) []Action {
	slices.SortStableFunc(in.Wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Model, b.Model))
	})
	d := newDecision(in)
	for _, w := range d.Wants {
		d.tryGoal(loadGoal{want: w, maxCost: math.Inf(1)}, FromDisk)
	}
	d.tryGroups(FromDisk)
	extraCopies := d.extraCopyGoals()
	for _, g := range extraCopies {
		d.tryGoal(g, FromDisk)
	}
	wanted, spare := withDeparted(d.storeGoals(extraCopies), d.departedGoals())
	for _, g := range wanted {
		d.tryGoal(g, FromStore)
	}
	d.tryGroups(FromStore)
	for _, g := range spare {
		if g.ahead {
			d.tryDeparted(g)
			continue
		}
		d.tryGoal(g, FromStore)
	}
	d.preloadMissing()
	return d.actions
}

// decision is the state of one call of Decide.
type decision struct {
	Input
	index
	// usedServers and chosenModels are the servers and models that have an action.
	usedServers  map[string]bool
	chosenModels map[string]bool
	// awaitedServers are the servers that deferred loads wait for.
	awaitedServers map[string]bool
	actions        []Action
}

func newDecision(in Input) *decision {
	return &decision{Input: in, index: newIndex(&in), usedServers: map[string]bool{}, chosenModels: map[string]bool{}, awaitedServers: map[string]bool{}}
}

// addAction adds an action and updates the limits and the summaries of evicted models.
func (d *decision) addAction(s *Server, a Action) {
	d.usedServers[a.Server], d.chosenModels[a.Load] = true, true
	if a.Source == FromStore {
		d.StoreLoadsLeft--
		d.StoreLoadsRunning++
	}
	for _, m := range a.Evict {
		d.summary(m).servingCopies -= d.copyWeight(s, m)
	}
	d.actions = append(d.actions, a)
}

// tryGoal adds the cheapest load for a goal if it costs less than the goal's
// maxCost. The weights come from a source at least as fast as slowestSource. For
// a wanted model it adds a deferred load instead if a load from the weight store
// would be ready later or isn't possible.
func (d *decision) tryGoal(g loadGoal, slowestSource Source) {
	if d.chosenModels[g.want.Model] || !g.extraCopy && d.summary(g.want.Model).pendingCopies > 0 {
		return
	}
	if d.Conservative && slowestSource == FromStore && (d.unknownServers > 0 || d.summary(g.want.Model).hasLocalWeights) {
		return
	}
	best, s, cost := d.cheapestLoad(g.want, slowestSource, nil)
	if slowestSource == FromStore && !g.extraCopy {
		if deferred, sooner := d.deferredLoad(g.want); sooner && (s == nil || deferred.ReadyIn < best.ReadyIn) {
			d.chosenModels[deferred.Load], d.awaitedServers[deferred.Server] = true, true
			d.actions = append(d.actions, deferred)
			return
		}
	}
	if s != nil && cost < g.maxCost {
		d.addAction(s, best)
	}
}

// cheapestLoad returns the cheapest load of a model, its server and its cost in
// seconds of waiting, without the excluded servers. The server is nil if none can load the model.
func (d *decision) cheapestLoad(w Want, slowest Source, excluded map[string]bool) (best Action, server *Server, leastCost float64) {
	model := d.catalogue[w.Model]
	if model == nil {
		return Action{}, nil, 0
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		if s.Busy || d.usedServers[s.ID] || excluded[s.ID] {
			continue
		}
		a, cost, fits := d.loadAt(s, model, w, slowest)
		if fits && (server == nil || cost < leastCost) {
			best, server, leastCost = a, s, cost
		}
	}
	return best, server, leastCost
}

// deferredLoad returns the soonest load of a model by a server that has its weights
// but is busy or lacks room; ok is false if there is none. After maxRoomWait it no
// longer waits for room, because running requests may take longer than forecast
// again and again.
func (d *decision) deferredLoad(w Want) (best Action, ok bool) {
	model := d.catalogue[w.Model]
	if model == nil {
		return Action{}, false
	}
	for i := range d.Servers {
		s := &d.Servers[i]
		source, readyIn := d.weightSource(s, model)
		if source == FromStore || s.Busy && s.FreeIn < 0 || !s.Busy && w.Waited > maxRoomWait || s.holds(w.Model) {
			continue
		}
		wait, fits := d.timeToRoom(s, model)
		if readyIn += max(wait, s.FreeIn); fits && (!ok || readyIn < best.ReadyIn) {
			best, ok = Action{Server: s.ID, Load: w.Model, Source: source, ReadyIn: readyIn, Deferred: true}, true
		}
	}
	return best, ok
}

// preloadMissing loads models that no server holds into free memory, so that
// their first request finds them loaded. It uses the weight store for one load
// at a time, and only while no model is wanted.
func (d *decision) preloadMissing() {
	for i := range d.Engine.Models {
		model := &d.Engine.Models[i]
		if m := d.summary(model.Name); m.servingCopies > 0 || m.pendingCopies > 0 || m.wanted || d.chosenModels[model.Name] {
			continue
		}
		// Keep one concurrent load of the weight store free for the next wanted
		// model, unless there is no demand yet.
		slowest := FromDisk
		if d.StoreLoadsRunning == 0 && len(d.Wants) == 0 && !d.Conservative && (d.StoreConcurrency > 1 || len(d.Demand) == 0) {
			slowest = FromStore
		}
		if a, s := d.fastestSpareLoad(model, slowest, nil); s != nil {
			d.addAction(s, a)
		}
	}
}

// fastestSpareLoad returns the fastest load of a model without evictions and its
// server, without the excluded servers. The server is nil if none can load the model.
func (d *decision) fastestSpareLoad(model *site.Model, slowest Source, excluded map[string]bool) (best Action, server *Server) {
	for i := range d.Servers {
		s := &d.Servers[i]
		if s.Busy || d.usedServers[s.ID] || excluded[s.ID] || d.freeMB(s)-d.totalMB(s.Reserved, model.Name)-d.totalMB(s.Replaceable, model.Name) < model.SizeMB+d.adapterReserveMB(s, model) {
			continue
		}
		a, _, ok := d.loadAt(s, model, Want{Model: model.Name}, slowest)
		if ok && (server == nil || a.ReadyIn < best.ReadyIn) {
			best, server = a, s
		}
	}
	return best, server
}
