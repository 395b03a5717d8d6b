package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/decay"
	"foxtailcroft/internal/policy/loads"
	"foxtailcroft/internal/policy/split"
	"foxtailcroft/internal/policy/stall"
)

// maxLoggedModels bounds the models that the demand log line lists.
const maxLoggedModels = 6

// logDemand logs the models with the highest request rates and their numbers of replicas.
func (p *Planner) logDemand() {
	p.mu.Lock()
	defer p.mu.Unlock()
	type modelDemand struct {
		Model    string
		Rate     float64
		EachMs   int64
		Adapters int
		Copies   int
	}
	var list []modelDemand
	for m, d := range p.demand.byModel(time.Now()) {
		list = append(list, modelDemand{m, math.Round(d.Rate*10) / 10, d.PrefillTime.Milliseconds(), d.ActiveAdapters, p.copies[m]})
	}
	slices.SortFunc(list, func(a, b modelDemand) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Model, b.Model)) })
	p.log.Infow("demand", "Models", len(list), "Busiest", list[:min(maxLoggedModels, len(list))], "Wants", len(p.wants), "Servers", len(p.servers), "PauseFactor", math.Round(p.pauses.Factor()*100)/100, "LongShare", p.longShare())
}

// ApplyUsage applies a front's usage report. It returns the load of the busiest
// servers, and the state that a successor inherits.
func (p *Planner) ApplyUsage(u peers.UsageReport) peers.PlannerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	report := frontUsage{receivedAt: now, inFlight: map[site.InstanceKey]map[site.Target]int{}}
	for _, use := range u.Uses {
		if report.inFlight[use.Instance] == nil {
			report.inFlight[use.Instance] = map[site.Target]int{}
		}
		report.inFlight[use.Instance][use.Target] += use.InFlight
		p.demand.addSent(use.Target, use.Requests, use.Work, now)
		p.pauses = p.pauses.Observe(use.Streams, use.Paused, p.utilization(use.Target.Model, now))
		if s := p.servers[use.Instance]; s != nil && use.Requests+use.InFlight > 0 {
			s.markUsed(use.Target, now)
		}
	}
	p.usageByFront[u.Front] = report
	p.addPrompts(u.Prompts, now)
	for _, x := range u.Pauses {
		if s := p.servers[x.Instance]; s != nil {
			s.pausePeak = s.pausePeak.Add(x.Longest, now)
			s.usualPausePeak = s.usualPausePeak.Add(cmp.Or(x.Usual, x.Longest), now)
		}
	}
	for _, x := range u.Limits {
		if s := p.servers[x.Instance]; s != nil {
			s.applyLimit(x.PerSecond, now.Add(-x.Age))
		}
	}
	for _, a := range u.Asked {
		p.demand.add(a.Target, a.Requests, a.Priority, now)
	}
	return peers.PlannerStatus{StoreLoads: p.storeConcurrency.Limit(), Loads: p.busiestServers(now), Limits: p.recentLimits(now), Pending: p.pendingLoads(now), Unanswered: p.unansweredOrders(now), PauseFactor: p.pauses.Factor(), LongShare: p.longShare()}
}

// addPrompts adds to the decayed mix of prompts. The caller must hold p.mu.
func (p *Planner) addPrompts(m split.Mix, now time.Time) {
	p.prompts = p.prompts.Times(math.Exp(-now.Sub(p.promptsAt).Seconds() / decay.TimeConstant.Seconds())).Plus(m)
	p.promptsAt = now
}

// longShare returns the share of each model's servers that get long prompts. The caller must hold p.mu.
func (p *Planner) longShare() float64 {
	return split.LongShare(p.prompts, p.pauses.Factor())
}

// utilization returns the share of time in which a model's servers read its prompts. The
// caller must hold p.mu.
func (p *Planner) utilization(model string, now time.Time) float64 {
	copies := p.copies[model]
	if copies == 0 {
		return 0
	}
	return p.demand.requests[model].Rate(now) * p.demand.promptTimePerRequest(model, now).Seconds() / float64(copies)
}

// countCopies counts the servers that serve each model. The caller must hold p.mu.
func (p *Planner) countCopies() {
	p.copies = map[string]int{}
	for _, s := range p.servers {
		for name, m := range s.models {
			if !m.unloading {
				p.copies[name]++
			}
		}
	}
}

// busiestServers returns the load of the maxListedServers servers with the most
// requests, cached for loadsCacheTTL. The caller must hold p.mu.
func (p *Planner) busiestServers(now time.Time) []peers.ServerLoad {
	if p.cachedLoads != nil && now.Sub(p.cachedLoadsAt) < loadsCacheTTL {
		return p.cachedLoads
	}
	var serverLoads []peers.ServerLoad
	for _, s := range p.servers {
		if s.known && !s.lost {
			serverLoads = append(serverLoads, peers.ServerLoad{Instance: s.inst.InstanceKey, Requests: s.requests, Age: now.Sub(s.reportedAt), Pause: s.usualPausePeak.Value(now), UsedTokens: s.usedTokens})
		}
	}
	slices.SortFunc(serverLoads, func(a, b peers.ServerLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	p.cachedLoads, p.cachedLoadsAt = serverLoads[:min(maxListedServers, len(serverLoads))], now
	return p.cachedLoads
}

// limitTTL is how long a limit counts that no answer has confirmed. A server within its limit
// answers more often than that.
const limitTTL = 30 * time.Second

// recentLimits returns the limits that servers have named or lifted within limitTTL. The
// caller must hold p.mu.
func (p *Planner) recentLimits(now time.Time) []peers.InstanceLimit {
	var out []peers.InstanceLimit
	for k, s := range p.servers {
		if age := now.Sub(s.limitAt); age < limitTTL {
			out = append(out, peers.InstanceLimit{Instance: k, PerSecond: s.limit, Age: age})
		}
	}
	return out
}

// pendingLoads returns the model loads in progress. The caller must hold p.mu.
func (p *Planner) pendingLoads(now time.Time) []peers.PendingLoad {
	var out []peers.PendingLoad
	for k, s := range p.servers {
		if s.loadingModel != "" {
			out = append(out, peers.PendingLoad{Instance: k, Model: s.loadingModel, In: s.readyAt.Sub(now), Ahead: s.loadingAhead})
		}
	}
	return out
}

// loadsCacheTTL is how long one computed list of server loads is returned to all fronts.
const loadsCacheTTL = 200 * time.Millisecond

// InheritStatus stores the state that another planner has published, in case this front
// succeeds it.
func (p *Planner) InheritStatus(status peers.PlannerStatus) {
	_, isPlanner := p.candidate.FencingToken(p.settings.ChecksFence)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeConcurrency.Limit() != status.StoreLoads && status.StoreLoads > 0 {
		p.storeConcurrency = loads.FromEstimate(status.StoreLoads)
	}
	if p.pauses.Factor() != status.PauseFactor {
		p.pauses = stall.FromFactor(status.PauseFactor)
	}
	now := time.Now()
	p.inheritedLoads = map[site.InstanceKey]inheritedLoad{}
	for _, x := range status.Pending {
		p.inheritedLoads[x.Instance] = inheritedLoad{model: x.Model, readyAt: now.Add(x.In), ahead: x.Ahead}
	}
	if !isPlanner {
		p.inheritOrders(status.Unanswered, now)
	}
}

// inheritedLoad is a model load that a previous planner ordered.
type inheritedLoad struct {
	model   string
	readyAt time.Time
	// ahead is set if no request waited for it when it was ordered.
	ahead bool
}

// adoptInheritedLoad records the load that a busy server is still running for the
// previous planner, so that it isn't ordered again. The caller must hold p.mu.
func (p *Planner) adoptInheritedLoad(s *server) {
	load, ok := p.inheritedLoads[s.inst.InstanceKey]
	if !ok || !s.busy || s.loadingModel != "" || s.models[load.model] != nil {
		return
	}
	s.loadingModel, s.readyAt, s.loadingAhead = load.model, load.readyAt, load.ahead
	p.log.Infow("adopted a load in progress from the previous planner", "Instance", s.inst.ID, "Model", load.model, "Fence", p.fence)
}

// requestsInFlight returns the number of requests in flight at a server for a
// target, from the usage reports that are still valid. A target without an adapter
// name counts the requests of the model and all its adapters.
func (p *Planner) requestsInFlight(k site.InstanceKey, t site.Target) int {
	n := 0
	for _, u := range p.usageByFront {
		if time.Since(u.receivedAt) > usageTTL {
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
