package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/swap"
)

const (
	// lossConfirmation is how long a server must be lost before its models are loaded elsewhere:
	// two more reports can't be read meanwhile, so that one failed connection moves nothing.
	lossConfirmation = 2 * reportInterval
	// departureTTL is how long a departed model or adapter is kept for a load ahead of requests.
	departureTTL = time.Minute
	// scarceTime is how long after a server has left waiting requests count by deadline and priority.
	// Otherwise they count by number and account, as in deployments in which no server leaves.
	scarceTime = time.Minute
	// aheadShare is the share of the concurrent loads from the weight store that may be for models
	// for which no request waits; the others stay free for those that requests will wait for.
	aheadShare = 0.5
)

// departure is a model or adapter that a leaving server held and no other server holds.
type departure struct {
	service string
	since   time.Time
}

// isLeaving reports whether a server is draining or its loss is confirmed.
func (s *server) isLeaving(now time.Time) bool {
	return s.inst.Draining || s.lost && now.Sub(s.lostSince) >= lossConfirmation
}

// recordDeparture records what a server held that leaves or has left. Until a report has been
// read only the announced models are known. The caller must hold p.mu.
func (p *Planner) recordDeparture(s *server, now time.Time) {
	if s.departureRecorded {
		return
	}
	s.departureRecorded = true
	p.serverLeftAt[s.inst.Service] = now
	held := map[site.Target]bool{}
	for _, name := range s.modelNames() {
		held[site.Target{Model: name}] = true
	}
	for t, a := range s.adapters {
		held[t] = !a.unloading
	}
	if !s.known {
		for _, name := range s.inst.Models {
			held[site.Target{Model: name}] = true
		}
	}
	for t, ok := range held {
		if _, known := p.departed[t]; ok && !known {
			p.departed[t] = departure{s.inst.Service, now}
		}
	}
	p.log.Infow("server leaves", "Instance", s.inst.ID, "Born", s.inst.Born, "Draining", s.inst.Draining, "Lost", s.lost, "Reported", s.known, "Models", s.modelNames(), "Adapters", len(s.adapters))
}

// updateDepartures records what leaving servers hold, and forgets what another server serves or
// what has departed for departureTTL. The caller must hold p.mu.
func (p *Planner) updateDepartures(now time.Time) {
	for _, s := range p.servers {
		if s.isLeaving(now) {
			p.recordDeparture(s, now)
		}
	}
	maps.DeleteFunc(p.departed, func(t site.Target, d departure) bool {
		return now.Sub(d.since) > departureTTL || slices.ContainsFunc(p.serversWithModel(d.service, t.Model), func(s *server) bool {
			return t.Name == "" || s.adapters[t] != nil
		})
	})
}

// isScarce reports whether a server of a service left within scarceTime. The caller must hold p.mu.
func (p *Planner) isScarce(service string, now time.Time) bool {
	at, ok := p.serverLeftAt[service]
	return ok && now.Sub(at) < scarceTime
}

// departedModels returns the departed models of a service, and how many loads from the weight store
// may begin for models that no request waits for. The caller must hold p.mu.
func (p *Planner) departedModels(service string, now time.Time) (models []swap.Want, storeLoadsLeft int) {
	for t, d := range p.departed {
		if t.Name == "" && d.service == service {
			models = append(models, swap.Want{Model: t.Model, Waited: now.Sub(d.since)})
		}
	}
	running := 0
	for _, s := range p.servers {
		if s.loadingAhead && s.loadingModel != "" && !slices.Contains(s.onDisk, s.loadingModel) {
			running++
		}
	}
	return models, int(aheadShare*float64(p.storeConcurrency.Limit())) - running
}

// placeDepartedAdapters starts loading departed adapters that were requested recently at servers
// that have their models, the most recently requested first. No server loads more than one such
// adapter at a time. The caller must hold p.mu.
func (p *Planner) placeDepartedAdapters(ctx context.Context, now time.Time) {
	requestedAt := p.demand.adapterLastRequest
	adapters := slices.DeleteFunc(slices.Collect(maps.Keys(p.departed)), func(t site.Target) bool {
		return t.Name == "" || p.wants[t] != nil || now.Sub(requestedAt[t]) > adapterActiveWindow
	})
	slices.SortFunc(adapters, func(a, b site.Target) int {
		return cmp.Or(requestedAt[b].Compare(requestedAt[a]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	for _, t := range adapters {
		p.placeAdapter(ctx, p.departed[t].service, t, func(x adapterPlace) bool {
			return x.server.adapterAhead == (site.Target{}) && (x.victim.Name == "" || swap.IsAdapterWorthLoading(now.Sub(requestedAt[t]), now.Sub(x.victimLastUse)))
		})
	}
}
