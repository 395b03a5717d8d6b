package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/score"
	"foxtailcroft/internal/policy/split"
	"foxtailcroft/internal/policy/swap"
)

// refusedWantWeight is the least weight of a wanted model, used when its requests were
// refused and none is waiting.
const refusedWantWeight = 0.5

// startWork starts the swaps and adapter loads that the current wants need.
func (p *Planner) startWork(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.countCopies()
	p.updateDepartures(now)
	models := map[string][]site.Target{}
	for _, s := range p.servers {
		models[s.inst.Service] = nil
	}
	clear(p.expectedReady)
	clear(p.soonestAtVersion)
	for _, target := range p.pruneAndSortWants(now) {
		w := p.wants[target]
		if len(p.serversWithModel(w.service, target.Model)) == 0 && !w.isOnlyBound() {
			models[w.service] = append(models[w.service], target)
			continue
		}
		if target.Name != "" {
			p.placeAdapter(ctx, w.service, target, nil)
		}
	}
	p.placeDepartedAdapters(ctx, now)
	for service, targets := range models {
		p.startSwaps(ctx, service, targets)
	}
}

// pruneAndSortWants removes expired wants and returns the targets of the others in
// the order of their first requests. The caller must hold p.mu.
func (p *Planner) pruneAndSortWants(now time.Time) []site.Target {
	maps.DeleteFunc(p.wants, func(_ site.Target, w *wantedTarget) bool { return len(w.waiters) == 0 && now.After(w.expiresAt) })
	return slices.SortedFunc(maps.Keys(p.wants), func(a, b site.Target) int {
		return cmp.Or(p.wants[a].firstRequested.Compare(p.wants[b].firstRequested), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
}

// startSwaps starts the swaps that the policy decides on for a service, whose wanted targets
// without a model at any server are given. The caller must hold p.mu.
func (p *Planner) startSwaps(ctx context.Context, service string, targets []site.Target) {
	engine := engineOf(p.state(), service)
	if engine == nil {
		return
	}
	now := time.Now()
	in := swap.Input{Engine: engine, Demand: p.demand.byModel(now), StoreLoadsLeft: p.storeLoadsAllowed(engine, now), StoreLoadsRunning: p.activeStoreLoads(), StoreConcurrency: p.storeConcurrency.Limit(), Conservative: !p.evictionAllowed(now)}
	if !p.demandKnown(now) {
		in.StoreLoadsLeft = 0
	}
	in.Departed, in.AheadStoreLoadsLeft = p.departedModels(service, now)
	instances := map[string]site.Instance{}
	for _, s := range p.servers {
		if s.inst.Service == service && !s.isLeaving(now) {
			in.Servers = append(in.Servers, p.policyView(s, now))
			instances[s.inst.ID] = s.inst
		}
	}
	slices.SortFunc(in.Servers, func(a, b swap.Server) int { return strings.Compare(a.ID, b.ID) })
	in.Wants, in.Groups = p.swapWants(in, service, targets, now), p.groupWants(service, in.Servers, instances, now)
	for _, a := range swap.Decide(in) {
		if a.Deferred {
			p.expectedReady[a.Load] = now.Add(a.ReadyIn)
			continue
		}
		s := p.serverByID(a.Server)
		s.reserved, s.loadingModel, s.loadingAhead, s.evicting, s.readyAt = true, a.Load, a.Ahead, a.Evict, now.Add(a.ReadyIn)
		if a.Ahead {
			p.aheadLoadsTotal.Inc()
		}
		if a.Source == swap.FromStore {
			p.storeLoadStarts = append(p.storeLoadStarts, now)
			p.storeLoadsTotal.Inc()
		}
		p.log.Infow("swap", "Instance", a.Server, "Load", a.Load, "Evict", a.Evict, "Source", int(a.Source), "Ahead", a.Ahead, "Takes", a.ReadyIn.String(), "Sequence", s.sequence, "Fence", p.fence)
		p.group.Go(func() { p.executeSwap(ctx, s, a) })
	}
}

// mergeWants merges the wants of each model, with and without adapters: the weights
// are summed, and the longest wait counts.
func mergeWants(wants []swap.Want) []swap.Want {
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

// policyView returns a server as input for the swap policy.
func (p *Planner) policyView(s *server, now time.Time) swap.Server {
	v := swap.Server{
		ID: s.inst.ID, Busy: !s.available(), FreeIn: s.availableIn(now), Loading: s.loadingModel, OnDisk: s.onDisk, InMemory: s.inMemory,
		PauseRisk: score.PauseRisk(s.pausePeak.Value(now), p.strictestMaxGap(s.inst.Service)), MaxRate: s.currentLimit(now),
	}
	v.Reserved, v.Replaceable = s.reservedModels()
	v.Settling = s.settlesModels()
	for _, name := range s.modelNames() {
		if slices.Contains(s.evicting, name) {
			continue
		}
		h := s.models[name]
		v.Copies = append(v.Copies, swap.Copy{
			Model: name, InFlight: p.requestsInFlight(s.inst.InstanceKey, site.Target{Model: name}), Age: now.Sub(h.loadedAt), Idle: now.Sub(h.lastUse),
		})
	}
	return v
}

// strictestMaxGap returns the shortest limit on pauses in a stream among the routes
// to a service, 0 if none has a limit.
func (p *Planner) strictestMaxGap(service string) time.Duration {
	doc := p.state().Document
	if doc == nil {
		return 0
	}
	var strictest time.Duration
	for i := range doc.Routes {
		r := &doc.Routes[i]
		if r.MaxTokenGap > 0 && (strictest == 0 || r.MaxTokenGap < strictest) && slices.ContainsFunc(r.Split, func(x site.WeightedService) bool { return x.Service == service }) {
			strictest = r.MaxTokenGap
		}
	}
	return strictest
}

func (p *Planner) serverByID(id string) *server {
	for _, s := range p.servers {
		if s.inst.ID == id {
			return s
		}
	}
	return nil
}

// activeStoreLoads returns the number of loads from the weight store that may still
// be running.
func (p *Planner) activeStoreLoads() int {
	n := 0
	for _, s := range p.servers {
		if s.loadingModel != "" && !slices.Contains(s.onDisk, s.loadingModel) {
			n++
		}
	}
	return n
}

// storeLoadsAllowed returns how many loads from the weight store may start now. It
// bounds the concurrent loads by the number that run at full speed, and the loads in
// the window by the store's rate, without the excess that the store tolerates.
func (p *Planner) storeLoadsAllowed(e *site.Engine, now time.Time) int {
	p.storeLoadStarts = slices.DeleteFunc(p.storeLoadStarts, func(t time.Time) bool { return now.Sub(t) > p.settings.LoadWindow })
	rateAllowance := int(e.StoreLoadsPerSecond*p.settings.LoadWindow.Seconds()) - len(p.storeLoadStarts)
	return max(0, min(rateAllowance, p.storeConcurrency.Limit()-p.activeStoreLoads()))
}

// adapterLoadTime is the expected duration of an adapter load; requests are sent only
// after it.
const adapterLoadTime = 12 * time.Millisecond

// adapterPlace is a server for an adapter, and the adapter to evict there.
type adapterPlace struct {
	server *server
	// victim is empty if the server has a free place.
	victim site.Target
	// victimLastUse is when the victim was last used.
	victimLastUse time.Time
	// forLong is set if the server gets the model's long prompts.
	forLong bool
}

// betterThan reports whether x is preferred: free places come first, then servers that
// don't get long prompts, then the server with the fewest adapters or the least recently
// used victim.
func (x adapterPlace) betterThan(other adapterPlace) bool {
	switch {
	case other.server == nil:
		return true
	case (x.victim.Name == "") != (other.victim.Name == ""):
		return x.victim.Name == ""
	case x.forLong != other.forLong:
		return !x.forLong
	case x.victim.Name == "":
		return len(x.server.adapters) < len(other.server.adapters)
	}
	return x.victimLastUse.Before(other.victimLastUse)
}

// placeAdapter starts loading an adapter at a server that has its model, unless the
// adapter is present or being loaded. If no request waits for it, ahead tells which places it may
// get, and is nil otherwise. The caller must hold p.mu.
func (p *Planner) placeAdapter(ctx context.Context, service string, t site.Target, ahead func(adapterPlace) bool) {
	engine := engineOf(p.state(), service)
	holders := p.serversWithModel(service, t.Model)
	version := p.missingVersion(t)
	present := version == "" && slices.ContainsFunc(holders, func(s *server) bool { return s.adapters[t] != nil && !p.isOverLimit(s, t) })
	holders = slices.DeleteFunc(holders, func(s *server) bool { return s.adapters[t] != nil || version != "" && s.inst.Version != version })
	if p.adaptersLoading[t] || present || engine == nil || engine.Model(t.Model) == nil {
		return
	}
	ids := make([]string, len(holders))
	for i, s := range holders {
		ids[i] = s.inst.ID
	}
	forLong := split.ForLong(t.Model, ids, p.longShare())
	var best adapterPlace
	for i, s := range holders {
		candidate, ok := p.findPlace(s, engine, engine.Model(t.Model), t)
		candidate.forLong = forLong != nil && forLong[i]
		if ok && (ahead == nil || ahead(candidate)) && candidate.betterThan(best) {
			best = candidate
		}
	}
	if best.server == nil {
		return
	}
	if best.victim.Name != "" {
		best.server.adapters[best.victim].unloading = true
	}
	p.adaptersLoading[t] = true
	if ahead != nil {
		best.server.adapterAhead = t
		p.aheadLoadsTotal.Inc()
	}
	p.group.Go(func() { p.loadAdapter(ctx, best.server, t, best.victim) })
}

// isOverLimit reports whether a server limits its requests and all requests that wait for a
// target can't use it. The caller must hold p.mu.
func (p *Planner) isOverLimit(s *server, t site.Target) bool {
	wanted := p.wants[t]
	if wanted == nil || s.currentLimit(time.Now()) == 0 || len(wanted.waiters) == 0 {
		return false
	}
	for w := range wanted.waiters {
		if !slices.Contains(w.request.Avoid, s.inst.InstanceKey) {
			return false
		}
	}
	return true
}

// findPlace returns a place for an adapter of a model at a server, and false if there is none.
func (p *Planner) findPlace(s *server, e *site.Engine, m *site.Model, t site.Target) (adapterPlace, bool) {
	if !s.available() {
		return adapterPlace{}, false
	}
	if s.usedPlaces(t) < e.MaxLoadedAdapters && s.usedMB(e, t)+m.AdapterMB <= e.WeightsMB {
		return adapterPlace{server: s}, true
	}
	if len(s.adapters) < e.MaxLoadedAdapters && s.settlesAdapters() {
		// The next reports tell whether there is a place.
		return adapterPlace{}, false
	}
	victim, lastUse, ok := s.leastRecentlyUsedAdapter(time.Now(), p.requestsInFlight)
	return adapterPlace{server: s, victim: victim, victimLastUse: lastUse}, ok
}
