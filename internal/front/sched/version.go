package sched

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/swap"
)

// versionModel is a model of a service at the servers of one software version.
type versionModel struct {
	service, version, model string
}

// hasResumableStreams reports whether a route to a service has streams that may be resumed.
func hasResumableStreams(doc *site.Document, service string) bool {
	return doc != nil && slices.ContainsFunc(doc.Routes, func(r site.Route) bool {
		return r.Kind == site.Streaming && r.Resumable && slices.ContainsFunc(r.Split, func(x site.WeightedService) bool { return x.Service == service })
	})
}

// groupWants returns the models of a service that no server of a version holds though requests wait for them there,
// and those that one of several servers of a version holds with streams that could not go on elsewhere, while servers
// of other versions hold them as well: a model without these is as rare as where one version serves. instances are
// those of the servers, by ID. The caller must hold p.mu.
func (p *Planner) groupWants(service string, servers []swap.Server, instances map[string]site.Instance, now time.Time) []swap.GroupWant {
	versions := map[string]swap.GroupWant{}
	holders, streams, copies := map[versionModel]int{}, map[versionModel]int{}, map[string]int{}
	for _, s := range servers {
		version, born := instances[s.ID].Version, instances[s.ID].Born
		if version == "" {
			continue
		}
		g, ok := versions[version]
		if g.Servers = append(g.Servers, s.ID); !ok || born < g.Started {
			g.Started = born
		}
		versions[version] = g
		for _, c := range s.Copies {
			key := versionModel{service, version, c.Model}
			holders[key]++
			copies[c.Model]++
			streams[key] += c.InFlight
		}
		if s.Loading != "" && !slices.ContainsFunc(s.Copies, func(c swap.Copy) bool { return c.Model == s.Loading }) {
			holders[versionModel{service, version, s.Loading}]++
		}
	}
	var out []swap.GroupWant
	for key, n := range p.boundWaiters(service, now) {
		if g := versions[key.version]; holders[key] == 0 {
			g.Model, g.Waiting, g.Waited = key.model, n.Waiting, n.Waited
			out = append(out, g)
		}
	}
	if !hasResumableStreams(p.state().Document, service) {
		return out
	}
	for key, n := range streams {
		if g := versions[key.version]; n > 0 && holders[key] == 1 && copies[key.model] > 1 && len(g.Servers) > 1 {
			g.Model, g.Streams = key.model, n
			out = append(out, g)
		}
	}
	return out
}

// boundWaiters returns the requests of a service that wait for models at one version. The caller must hold p.mu.
func (p *Planner) boundWaiters(service string, now time.Time) map[versionModel]swap.GroupWant {
	out := map[versionModel]swap.GroupWant{}
	for t, wanted := range p.wants {
		if wanted.service != service {
			continue
		}
		for w := range wanted.waiters {
			if w.request.Version == "" {
				continue
			}
			key := versionModel{service, w.request.Version, t.Model}
			g := out[key]
			g.Waiting++
			g.Waited = max(g.Waited, now.Sub(wanted.firstRequested))
			out[key] = g
		}
	}
	return out
}

// isOnlyBound reports whether all requests that wait for a target go on with streams, each at one version.
func (w *wantedTarget) isOnlyBound() bool {
	for x := range w.waiters {
		if x.request.Version == "" {
			return false
		}
	}
	return len(w.waiters) > 0
}

// versionHasModel reports whether a server of the version that a request needs serves the model or loads
// it. The caller must hold p.mu.
func (p *Planner) versionHasModel(req peers.InstanceRequest) bool {
	for _, s := range p.servers {
		if s.inst.Service == req.Service && s.inst.Version == req.Version && (s.loadingModel == req.Target.Model || s.serves(site.Target{Model: req.Target.Model})) {
			return true
		}
	}
	return false
}

// isLoadableAtVersion reports whether a server of the version that a request needs can have its model while the
// request waits. Forecasts hold for one planning step. The caller must hold p.mu.
func (p *Planner) isLoadableAtVersion(req peers.InstanceRequest) bool {
	key := versionModel{req.Service, req.Version, req.Target.Model}
	soonest, ok := p.soonestAtVersion[key]
	if !ok {
		soonest = p.forecastAtVersion(key)
		p.soonestAtVersion[key] = soonest
	}
	return soonest >= 0 && soonest <= req.Wait
}

// forecastAtVersion returns how soon a server of a version can have a model, negative if none can. The caller must
// hold p.mu.
func (p *Planner) forecastAtVersion(key versionModel) time.Duration {
	now := time.Now()
	in := swap.Input{Engine: engineOf(p.state(), key.service), Demand: p.demand.byModel(now), StoreLoadsRunning: p.activeStoreLoads(), StoreConcurrency: p.storeConcurrency.Limit(), Wants: []swap.Want{{Model: key.model}}}
	for _, s := range p.servers {
		if s.inst.Service == key.service && s.inst.Version == key.version && !s.isLeaving(now) {
			in.Servers = append(in.Servers, p.policyView(s, now))
		}
	}
	if soonest, ok := swap.SoonestLoads(in)[key.model]; ok {
		return soonest
	}
	return -1
}

// missingVersion returns a version that a request which waits for a target needs and of which no server
// serves the target; empty if there is none. The caller must hold p.mu.
func (p *Planner) missingVersion(t site.Target) string {
	wanted := p.wants[t]
	if wanted == nil {
		return ""
	}
	for w := range wanted.waiters {
		version := w.request.Version
		isServed := func(s *server) bool { return s.inst.Version == version && s.serves(t) }
		if version != "" && !slices.ContainsFunc(p.serversWithModel(wanted.service, t.Model), isServed) {
			return version
		}
	}
	return ""
}
