package orders

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/pace"
)

// busiest is how many models the line on demand names.
const busiest = 6

// logDemand logs the models that are asked for most, with their copies.
func (p *Planner) logDemand() {
	p.mu.Lock()
	defer p.mu.Unlock()
	type asked struct {
		Model    string
		Rate     float64
		EachMs   int64
		Adapters int
		Copies   int
	}
	var list []asked
	copies := map[string]int{}
	for _, s := range p.servers {
		for _, m := range s.modelNames() {
			copies[m]++
		}
	}
	for m, d := range p.demand.all(time.Now()) {
		list = append(list, asked{m, math.Round(d.Rate*10) / 10, d.Each.Milliseconds(), d.Adapters, copies[m]})
	}
	slices.SortFunc(list, func(a, b asked) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Model, b.Model)) })
	p.log.Infow("demand", "Models", len(list), "Busiest", list[:min(busiest, len(list))], "Wants", len(p.wants), "Servers", len(p.servers))
}

// Use applies a front's usage report and returns the servers' load.
func (p *Planner) Use(u peers.Uses) peers.Board {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	use := usage{at: now, inFlight: map[site.Key]map[site.Adapter]int{}}
	for _, x := range u.Uses {
		if use.inFlight[x.Instance] == nil {
			use.inFlight[x.Instance] = map[site.Adapter]int{}
		}
		use.inFlight[x.Instance][x.Target] += x.InFlight
		p.demand.worked(x.Target, x.Requests, x.Work, now)
		if s := p.servers[x.Instance]; s != nil && x.Requests+x.InFlight > 0 {
			s.touch(x.Target, now)
		}
	}
	p.uses[u.Front] = use
	for _, x := range u.Pauses {
		if s := p.servers[x.Instance]; s != nil {
			s.pauses = s.pauses.With(x.Longest, now)
		}
	}
	for _, a := range u.Asked {
		p.demand.add(a.Target, a.Requests, now)
	}
	return peers.Board{StoreLoads: p.pace.AtOnce(), Loads: p.busiestServers(now), Pending: p.pending(now)}
}

// busiestServers returns the load of the servers with most requests; the caller holds the lock.
func (p *Planner) busiestServers(now time.Time) []peers.Load {
	if p.board != nil && now.Sub(p.boardAt) < boardAge {
		return p.board
	}
	var loads []peers.Load
	for _, s := range p.servers {
		if s.known && !s.lost {
			loads = append(loads, peers.Load{Instance: s.inst.Key, Requests: s.running, Age: now.Sub(s.reported), Pause: s.pauses.Value(now)})
		}
	}
	slices.SortFunc(loads, func(a, b peers.Load) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	p.board, p.boardAt = loads[:min(boardSize, len(loads))], now
	return p.board
}

// pending returns the loads under way; the caller holds the lock.
func (p *Planner) pending(now time.Time) []peers.Pending {
	var out []peers.Pending
	for k, s := range p.servers {
		if s.awaited != "" {
			out = append(out, peers.Pending{Instance: k, Model: s.awaited, In: s.readyAt.Sub(now)})
		}
	}
	return out
}

// boardAge is how long a board serves all fronts that ask.
const boardAge = 200 * time.Millisecond

// Learn takes over what another planner has learned, for when this front succeeds it.
func (p *Planner) Learn(b peers.Board) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pace.AtOnce() != b.StoreLoads && b.StoreLoads > 0 {
		p.pace = pace.Known(b.StoreLoads)
	}
	now := time.Now()
	p.inherited = map[site.Key]inherited{}
	for _, x := range b.Pending {
		p.inherited[x.Instance] = inherited{model: x.Model, readyAt: now.Add(x.In)}
	}
}

// inherited is a load that another planner has ordered.
type inherited struct {
	model   string
	readyAt time.Time
}

// inherit takes over the load that a busy server is known to carry out for the planner before; the caller holds the lock.
func (p *Planner) inherit(s *server) {
	x, ok := p.inherited[s.inst.Key]
	if !ok || !s.busy || s.awaited != "" || s.models[x.model] != nil {
		return
	}
	s.awaited, s.readyAt = x.model, x.readyAt
	p.log.Infow("load taken over", "Instance", s.inst.ID, "Model", x.model, "Fence", p.fence)
}

// inUse returns the requests in flight at a server for a target, by the fronts' last usage reports.
func (p *Planner) inUse(k site.Key, t site.Adapter) int {
	n := 0
	for _, u := range p.uses {
		if time.Since(u.at) > useFor {
			continue
		}
		for x, count := range u.inFlight[k] {
			if x == t || t.Name == "" && x.Model == t.Model {
				n += count
			}
		}
	}
	return n
}
