package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
)

// The methods between fronts.
const (
	methodNewer = "Newer"
	methodWant  = "Want"
	methodUse   = "Use"
)

// askTimeout bounds a question for a newer view.
const askTimeout = 800 * time.Millisecond

// Want asks the planner for an instance that can serve a model or adapter.
type Want struct {
	Service string
	Target  site.Adapter
	// Wait is how long the request can wait and still be served in time.
	Wait time.Duration
	// Answer is how long the planner may hold the question; the asker asks
	// again, so that a planner that was replaced holds nobody for longer.
	Answer time.Duration
	// Avoid are instances that the asker could not use a moment ago.
	Avoid []site.Key
}

// Found answers a Want: instances that can serve now, or when to come back.
type Found struct {
	Instances []site.Key
	// Waiting is true if the question ended before the wait did.
	Waiting bool
	// ReadyIn is the forecast for a target that is being loaded or waits for it; 0 if not known.
	ReadyIn time.Duration
	Reason  string
}

// Use is how much a model or adapter at an instance was used since the last message.
type Use struct {
	Instance site.Key
	Target   site.Adapter
	Requests int
	InFlight int
	// Work is the time that the server takes to read the prompts of these requests.
	Work time.Duration
}

// Uses is one front's usage report.
type Uses struct {
	Front string
	Uses  []Use
	// Asked counts the requests by target, served or not: those since the last
	// message or, for a planner that is new, those that still count.
	Asked []Ask
	// Pauses are the longest pauses of streams since the last message.
	Pauses []Pause
}

// Pause is the longest time between two events of a stream at an instance.
type Pause struct {
	Instance site.Key
	Longest  time.Duration
}

// Ask is how often a model or adapter was asked for.
type Ask struct {
	Target   site.Adapter
	Requests float64
}

// Load is what a server last reported of its requests.
type Load struct {
	Instance site.Key
	Requests int
	// Age is how old the report is.
	Age time.Duration
	// Pause is the longest pause of a stream there, faded.
	Pause time.Duration
}

// Board is the planner's reply to a usage report: the servers' load, and what a
// successor would otherwise have to learn again.
type Board struct {
	Loads []Load
	// StoreLoads is how many loads from the weight store run at full speed side by side.
	StoreLoads int
	// Pending are the loads of models under way.
	Pending []Pending
}

// Pending is a model that an instance is loading, and the forecast for its end.
type Pending struct {
	Instance site.Key
	Model    string
	In       time.Duration
}

// Planner gives orders to instances; every front has one, which acts only while it holds the lease.
type Planner interface {
	Want(ctx context.Context, w Want) (Found, error)
	Use(u Uses) Board
}

// Peers speaks to the other fronts.
type Peers struct {
	self  follow.Front
	pool  *peer.Pool
	state func() *follow.State
	seeds []string
	local Planner
}

// New returns the front's side towards others and registers its handlers.
func New(self follow.Front, pool *peer.Pool, mux *peer.Mux, f *follow.Follower, seeds []string, local Planner) *Peers {
	m := &Peers{self: self, pool: pool, state: f.State, seeds: seeds, local: local}
	peer.OnCall(mux, methodNewer, func(_ context.Context, _ *peer.Conn, after int64) (store.List, error) {
		list, _ := f.Snapshot(after)
		return list, nil
	})
	peer.OnCall(mux, methodWant, func(ctx context.Context, _ *peer.Conn, w Want) (Found, error) {
		return local.Want(ctx, w)
	})
	peer.OnCall(mux, methodUse, func(_ context.Context, _ *peer.Conn, u Uses) (Board, error) {
		return local.Use(u), nil
	})
	return m
}

// Newer asks other fronts, in random order, for a view newer than a revision; two are asked at the most.
func (m *Peers) Newer(ctx context.Context, revision int64) (store.List, bool) {
	addresses := slices.Clone(m.seeds)
	for _, f := range m.state().Fronts {
		addresses = append(addresses, f.Address)
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == m.self.Address })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(2, len(addresses))] {
		var list store.List
		if m.call(ctx, address, methodNewer, askTimeout, revision, &list) == nil && list.Revision > revision {
			return list, true
		}
	}
	return store.List{}, false
}

// Want asks the current planner.
func (m *Peers) Want(ctx context.Context, w Want) (Found, error) {
	planner := m.state().Planner
	if planner == nil {
		return Found{}, &NoPlanner{}
	}
	if planner.Run == m.self.Run {
		return m.local.Want(ctx, w)
	}
	var found Found
	err := m.call(ctx, planner.Address, methodWant, w.Answer+askTimeout, w, &found)
	return found, err
}

// Use reports usage to the current planner.
func (m *Peers) Use(ctx context.Context, u Uses) (Board, error) {
	planner := m.state().Planner
	if planner == nil {
		return Board{}, &NoPlanner{}
	}
	if planner.Run == m.self.Run {
		return m.local.Use(u), nil
	}
	var board Board
	err := m.call(ctx, planner.Address, methodUse, askTimeout, u, &board)
	return board, err
}

func (m *Peers) call(ctx context.Context, address, method string, timeout time.Duration, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := m.pool.Get(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Begin()()
	return conn.Call(ctx, method, params, reply)
}

// NoPlanner reports that no front gives orders at the moment.
type NoPlanner struct{}

// Error says so.
func (*NoPlanner) Error() string {
	return "no front holds the planner's lease"
}
