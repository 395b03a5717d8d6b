package orders

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/choose"
	"foxtailcroft/internal/policy/swap"
)

// lingeringWeight ranks a model that was asked for and refused, against the number of requests that wait for others.
const lingeringWeight = 0.5

// step starts what the wants need.
func (p *Planner) step(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	models := map[string][]swap.Want{}
	for _, s := range p.servers {
		models[s.inst.Service] = nil
	}
	clear(p.expected)
	for _, target := range p.eldest(now) {
		w := p.wants[target]
		if len(p.holders(w.service, target.Model)) == 0 {
			models[w.service] = append(models[w.service], swap.Want{Model: target.Model, Weight: max(lingeringWeight, float64(len(w.waiters))), Waited: now.Sub(w.since)})
			continue
		}
		if target.Name != "" {
			p.placeAdapter(ctx, w.service, target)
		}
	}
	for service, wants := range models {
		p.swap(ctx, service, wants)
	}
}

// eldest returns what is wanted, what waits longest first, without wants that have ended.
func (p *Planner) eldest(now time.Time) []site.Adapter {
	maps.DeleteFunc(p.wants, func(_ site.Adapter, w *wanted) bool { return len(w.waiters) == 0 && now.After(w.until) })
	return slices.SortedFunc(maps.Keys(p.wants), func(a, b site.Adapter) int {
		return cmp.Or(p.wants[a].since.Compare(p.wants[b].since), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
}

// swap carries out what the policy decides for a service.
func (p *Planner) swap(ctx context.Context, service string, wants []swap.Want) {
	engine := engineOf(p.state(), service)
	if engine == nil {
		return
	}
	now := time.Now()
	in := swap.Input{Engine: engine, Wants: merged(wants), Demand: p.demand.all(now), StoreLoads: p.loadsLeft(engine, now), Loading: p.loading(), AtOnce: p.pace.AtOnce(), Keep: !p.settled(now)}
	if !p.heard(now) {
		in.StoreLoads = 0
	}
	for _, s := range p.servers {
		if s.inst.Service == service && !s.inst.Leaving {
			in.Servers = append(in.Servers, p.viewed(s, now))
		}
	}
	slices.SortFunc(in.Servers, func(a, b swap.Server) int { return strings.Compare(a.ID, b.ID) })
	for _, a := range swap.Decide(in) {
		if a.Later {
			p.expected[a.Load] = now.Add(a.Takes)
			continue
		}
		s := p.byID(a.Server)
		s.engaged, s.awaited, s.evicting, s.readyAt = true, a.Load, a.Evict, now.Add(a.Takes)
		if a.Source == swap.FromStore {
			p.loads = append(p.loads, now)
			p.cold.Inc()
		}
		p.log.Infow("swap", "Instance", a.Server, "Load", a.Load, "Evict", a.Evict, "Source", int(a.Source), "Takes", a.Takes.String(), "Sequence", s.sequence, "Fence", p.fence)
		p.group.Go(func() { p.carryOut(ctx, s, a) })
	}
}

// merged sums the wants of one model, with and without adapters.
func merged(wants []swap.Want) []swap.Want {
	var out []swap.Want
	for _, w := range wants {
		i := slices.IndexFunc(out, func(x swap.Want) bool { return x.Model == w.Model })
		if i < 0 {
			out = append(out, w)
			continue
		}
		out[i].Weight += w.Weight
		out[i].Waited = max(out[i].Waited, w.Waited)
	}
	return out
}

// viewed returns a server as the policy sees it.
func (p *Planner) viewed(s *server, now time.Time) swap.Server {
	v := swap.Server{
		ID: s.inst.ID, Engaged: !s.free(), FreeIn: s.freeIn(now), Awaited: s.awaited, OnDisk: s.onDisk, InMemory: s.inMemory,
		Slow: choose.Risk(s.pauses.Value(now), p.longestPause(s.inst.Service)),
	}
	for _, name := range s.modelNames() {
		if slices.Contains(s.evicting, name) {
			continue
		}
		h := s.models[name]
		v.Copies = append(v.Copies, swap.Copy{
			Model: name, InFlight: p.inUse(s.inst.Key, site.Adapter{Model: name}), Age: now.Sub(h.since), Idle: now.Sub(h.lastUse),
		})
	}
	return v
}

// longestPause returns the shortest of the longest pauses that the routes to a service allow, 0 if none does.
func (p *Planner) longestPause(service string) time.Duration {
	doc := p.state().Document
	if doc == nil {
		return 0
	}
	var least time.Duration
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if r.MaxGap > 0 && (least == 0 || r.MaxGap < least) && slices.ContainsFunc(r.Shares, func(x site.Share) bool { return x.Service == service }) {
			least = r.MaxGap
		}
	}
	return least
}

func (p *Planner) byID(id string) *server {
	for _, s := range p.servers {
		if s.inst.ID == id {
			return s
		}
	}
	return nil
}

// loading counts the loads from the weight store that may still run.
func (p *Planner) loading() int {
	n := 0
	for _, s := range p.servers {
		if s.awaited != "" && !slices.Contains(s.onDisk, s.awaited) {
			n++
		}
	}
	return n
}

// loadsLeft returns how many loads from the weight store may begin now: no
// more at once than run at full speed, and no more in the window than the
// store's rate allows without the tolerated excess.
func (p *Planner) loadsLeft(e *site.Engine, now time.Time) int {
	p.loads = slices.DeleteFunc(p.loads, func(t time.Time) bool { return now.Sub(t) > p.set.LoadWindow })
	inWindow := int(e.LoadsPerSecond*p.set.LoadWindow.Seconds()) - len(p.loads)
	return max(0, min(inWindow, p.pace.AtOnce()-p.loading()))
}

// adapterTime is how long an adapter load is expected to take before requests are sent.
const adapterTime = 12 * time.Millisecond

// place is a server for an adapter, and the adapter evicted for it.
type place struct {
	server *server
	// victim is empty if there is a free place.
	victim site.Adapter
	// unused is since when the victim was not used.
	unused time.Time
}

// better reports whether an adapter had rather be loaded here: a free place at
// the server with the fewest adapters first, else the victim unused for longest.
func (x place) better(than place) bool {
	switch {
	case than.server == nil:
		return true
	case (x.victim.Name == "") != (than.victim.Name == ""):
		return x.victim.Name == ""
	case x.victim.Name == "":
		return len(x.server.adapters) < len(than.server.adapters)
	}
	return x.unused.Before(than.unused)
}

// placeAdapter loads an adapter at a holder of its model.
func (p *Planner) placeAdapter(ctx context.Context, service string, t site.Adapter) {
	engine := engineOf(p.state(), service)
	holders := p.holders(service, t.Model)
	present := slices.ContainsFunc(holders, func(s *server) bool { return s.adapters[t] != nil })
	if p.placing[t] || present || engine == nil || engine.Model(t.Model) == nil {
		return
	}
	var best place
	for _, s := range holders {
		if x, ok := p.placeAt(s, engine, engine.Model(t.Model)); ok && x.better(best) {
			best = x
		}
	}
	if best.server == nil {
		return
	}
	if best.victim.Name != "" {
		best.server.adapters[best.victim].leaving = true
	}
	p.placing[t] = true
	p.group.Go(func() { p.loadAdapter(ctx, best.server, t, best.victim) })
}

// placeAt returns the place for one more adapter at a server, if there is one.
func (p *Planner) placeAt(s *server, e *site.Engine, m *site.Model) (place, bool) {
	if !s.free() {
		return place{}, false
	}
	if len(s.adapters) < e.AdapterPlaces && s.usedMB(e)+m.AdapterMB <= e.WeightsMB {
		return place{server: s}, true
	}
	victim, at, ok := s.oldest(time.Now(), p.inUse)
	return place{s, victim, at}, ok
}
