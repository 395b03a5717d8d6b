package sched

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/loads"
	"foxtailcroft/internal/policy/split"
	"foxtailcroft/internal/policy/stall"
)

const (
	// reportInterval is how often the planner reads the report of each model server.
	reportInterval = time.Second
	// minReportSpacing is the least average time between two report reads, so that
	// their rate stays bounded as the number of servers grows.
	minReportSpacing = 5 * time.Millisecond
	// reportSettleTime is the time after which a report shows all orders that were accepted before.
	reportSettleTime = 350 * time.Millisecond
	// reportBatch is the number of reports that are read at once.
	reportBatch = 8
	// maxListedServers bounds the server loads in a reply to a front: the busiest
	// servers, which fronts should avoid.
	maxListedServers = 64
	// minStepPause is the least pause between two planning steps, so that changes are
	// handled in batches.
	minStepPause = 5 * time.Millisecond
	// stepPauseRatio is the ratio of the pause after a planning step to the step's
	// duration, so that planning leaves CPU time for requests.
	stepPauseRatio = 3
	// maxStepInterval bounds the wait for the next planning step if nothing changes.
	maxStepInterval = 100 * time.Millisecond
	// usageTTL is how long a usage report is valid.
	usageTTL = 3 * time.Second
)

// Settings configure the planner for the deployment.
type Settings struct {
	// Node is the name of this front, which its orders carry as their holder.
	Node string
	// ChecksFence is true if the servers reject orders with a superseded fencing token.
	ChecksFence bool
	// LoadWindow is the sliding window over which the rate limit of the weight store
	// counts loads.
	LoadWindow time.Duration
	// HandoverDelay is the least time between the orders of two planners to a server that
	// doesn't check fencing tokens.
	HandoverDelay time.Duration
}

// Planner decides which models and adapters servers load, and sends orders to them
// while its front holds the planner's key.
type Planner struct {
	settings  Settings
	candidate *Candidate
	state     func() *follow.State
	client    *serverClient
	// identities is nil if nothing finds out what has replaced a server.
	identities IdentityFinder
	log        *zap.SugaredLogger
	group      *tasks.Group

	mu sync.Mutex
	// fence is the fencing token of this front's last term as the planner.
	fence int64
	// deposedFence is the fencing token that a server rejected as superseded, 0 if none.
	deposedFence int64
	// leadingSince is when this front became the planner.
	leadingSince time.Time
	// predecessorGone is when this front saw the previous planner's key vanish, and
	// predecessorOrdersEnd until when that one may have given orders.
	predecessorGone      time.Time
	predecessorOrdersEnd time.Time
	servers              map[site.InstanceKey]*server
	wants                map[site.Target]*wantedTarget
	// adaptersLoading are the adapters for which a load has been started.
	adaptersLoading map[site.Target]bool
	// inheritedLoads are the loads in progress in the last state that another
	// planner published.
	inheritedLoads map[site.InstanceKey]inheritedLoad
	// sentBefore are this planner's orders to servers that it does not follow now, and inheritedOrders those
	// without an answer in the last state that a planner published.
	sentBefore      map[site.InstanceKey][]sentOrder
	inheritedOrders map[site.InstanceKey][]sentOrder
	// expectedReady is when the loads that the policy has deferred are expected to end,
	// by model; their servers are busy or have no room yet.
	expectedReady map[string]time.Time
	// soonestAtVersion is how soon servers of a version can have a model, negative if they can't, as of the last
	// planning step.
	soonestAtVersion map[versionModel]time.Duration
	// departed are the models and adapters whose last server leaves or has left.
	departed map[site.Target]departure
	// serverLeftAt is when a server of each service last left.
	serverLeftAt map[string]time.Time
	usageByFront map[string]frontUsage
	demand       demand
	// storeLoadStarts are the start times of the loads from the weight store within
	// Settings.LoadWindow.
	storeLoadStarts []time.Time
	// storeConcurrency estimates how many loads from the weight store run at full
	// speed concurrently.
	storeConcurrency loads.Concurrency
	// pauses estimates how often streams pause at the servers' utilization.
	pauses stall.Estimate
	// prompts is the decayed mix of prompts at promptsAt.
	prompts   split.Mix
	promptsAt time.Time
	// copies counts the servers that serve each model, as of the last planning step.
	copies        map[string]int
	cachedLoads   []peers.ServerLoad
	cachedLoadsAt time.Time
	// wakeup triggers the next planning step.
	wakeup          chan struct{}
	ordersTotal     *metrics.Counter
	storeLoadsTotal *metrics.Counter
	aheadLoadsTotal *metrics.Counter
}

// frontUsage is the requests in flight by server and target in a front's last usage report.
type frontUsage struct {
	receivedAt time.Time
	inFlight   map[site.InstanceKey]map[site.Target]int
}

// New returns a planner and a function that waits for its background work to end.
func New(s Settings, c *Candidate, state func() *follow.State, pool *conns.Pool, d Dialect, meters *metrics.Set, log *zap.SugaredLogger) (*Planner, func()) {
	group := &tasks.Group{}
	p := &Planner{
		settings: s, candidate: c, state: state, client: &serverClient{pool: pool, dialect: d}, log: log, group: group,
		servers: map[site.InstanceKey]*server{}, wants: map[site.Target]*wantedTarget{}, adaptersLoading: map[site.Target]bool{}, expectedReady: map[string]time.Time{}, soonestAtVersion: map[versionModel]time.Duration{}, departed: map[site.Target]departure{}, serverLeftAt: map[string]time.Time{},
		sentBefore: map[site.InstanceKey][]sentOrder{}, usageByFront: map[string]frontUsage{}, demand: newDemand(), wakeup: make(chan struct{}, 1),
		ordersTotal: meters.GetOrCreateCounter("foxtailcroft_orders_total"), storeLoadsTotal: meters.GetOrCreateCounter("foxtailcroft_store_loads_total"), aheadLoadsTotal: meters.GetOrCreateCounter("foxtailcroft_loads_ahead_total"),
	}
	meters.GetOrCreateGauge("foxtailcroft_reserved_loads", p.reservedLoads)
	return p, group.Close
}

// Run runs a planning step whenever the state changes, and every maxStepInterval
// otherwise, while this front is the planner.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTicker(maxStepInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wakeup:
		case <-p.state().Next():
		case <-timer.C:
		}
		if ctx.Err() != nil {
			return
		}
		if !p.checkLeadership() {
			p.rejectWaiters()
			continue
		}
		began := time.Now()
		p.syncInstances(ctx)
		if p.handoverEnded() {
			p.startWork(ctx)
		}
		p.answerWaiters()
		sleep.For(ctx, max(minStepPause, time.Since(began)*stepPauseRatio))
	}
}

// RunReports reads the reports of all model servers in turn, a few at a time, while this
// front is the planner.
func (p *Planner) RunReports(ctx context.Context) {
	for ctx.Err() == nil {
		servers := p.serverList()
		pause := max(reportInterval, time.Duration(len(servers))*minReportSpacing) / time.Duration(max(1, (len(servers)+reportBatch-1)/reportBatch))
		for batch := range slices.Chunk(servers, reportBatch) {
			if !sleep.For(ctx, pause) {
				return
			}
			if p.checkLeadership() {
				p.readReports(ctx, batch)
			}
		}
		if len(servers) == 0 && !sleep.For(ctx, reportInterval) {
			return
		}
		if p.checkLeadership() {
			p.logDemand()
		}
	}
}

// readReports starts reading the reports of servers, but for those that were just read.
func (p *Planner) readReports(ctx context.Context, servers []*server) {
	for _, s := range servers {
		p.mu.Lock()
		isRecent := time.Since(s.reportRequestedAt) < minRecheckInterval
		p.mu.Unlock()
		if !isRecent {
			p.group.Go(func() { p.readReport(ctx, s) })
		}
	}
}

// checkLeadership reports whether this front is the planner now. Under a new fencing
// token it resets the planner's view of the servers, as other planners may have given
// orders in between.
func (p *Planner) checkLeadership() bool {
	fence, ok := p.candidate.FencingToken(p.settings.ChecksFence)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || fence == p.deposedFence {
		return false
	}
	if fence != p.fence {
		p.log.Infow("planning", "Fence", fence)
		p.fence = fence
		p.leadingSince = time.Now()
		p.predecessorGone, p.predecessorOrdersEnd = p.candidate.takePredecessorGone()
		p.adoptOrders(p.leadingSince)
		p.servers = map[site.InstanceKey]*server{}
		p.adaptersLoading = map[site.Target]bool{}
		p.departed = map[site.Target]departure{}
		p.demand = newDemand()
		// The previous planner may just have started as many loads as may run concurrently.
		p.storeLoadStarts = slices.Repeat([]time.Time{p.leadingSince}, p.storeConcurrency.Limit())
	}
	return true
}

// handoverEnded reports whether the servers may get orders: they check fencing tokens, or
// the previous planner's last order is HandoverDelay ago. Before that the planner reads
// reports and names instances that already serve a target.
func (p *Planner) handoverEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handoverEndedAt(time.Now())
}

// handoverEndedAt is handoverEnded at a given time. The caller must hold p.mu.
func (p *Planner) handoverEndedAt(now time.Time) bool {
	return p.settings.ChecksFence || now.Sub(p.predecessorOrdersEnd) >= p.settings.HandoverDelay
}

// syncInstances updates the servers from the announced instances, reads the report
// of new ones and drops those that are gone.
func (p *Planner) syncInstances(ctx context.Context) {
	state := p.state()
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[site.InstanceKey]bool{}
	for _, in := range state.Instances {
		engine := engineOf(state, in.Service)
		if engine == nil {
			continue
		}
		seen[in.InstanceKey] = true
		s := p.servers[in.InstanceKey]
		if s == nil {
			s = newServer(in)
			s.sent = p.takeSent(in.InstanceKey)
			p.servers[in.InstanceKey] = s
			p.group.Go(func() { p.readReport(ctx, s) })
		}
		if s.inst.Revision != in.Revision {
			p.applyAnnouncement(s, in)
		}
		s.inst = in
	}
	for key, s := range p.servers {
		if !seen[key] {
			delete(p.servers, key)
			p.keepSent(key, s.sent, time.Now())
			p.client.forget(key)
			p.recordDeparture(s, time.Now())
			s.notifyChanged()
		}
	}
}

// applyAnnouncement marks the model that the server is loading as loaded if the
// announcement lists it.
// The caller must hold p.mu.
func (p *Planner) applyAnnouncement(s *server, in site.Instance) {
	if s.loadingModel == "" || !s.busy || s.models[s.loadingModel] != nil || !slices.Contains(in.Models, s.loadingModel) {
		return
	}
	s.models[s.loadingModel] = existingOrNew(nil, time.Now())
	s.models[s.loadingModel].markListed(time.Now())
	s.busy = false
	s.clearEndedLoad()
	s.notifyChanged()
	p.wake()
}

// engineOf returns the engine of a service, or nil if it has none.
func engineOf(s *follow.State, service string) *site.Engine {
	if s.Document == nil || s.Document.Services[service] == nil {
		return nil
	}
	return s.Document.Services[service].Engine
}

func (p *Planner) serverList() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	return out
}

// readReport reads a server's report and updates the planner's view of it. A
// failure marks the server as lost. A new planner first waits until reports show what its
// predecessor ordered.
func (p *Planner) readReport(ctx context.Context, s *server) {
	p.mu.Lock()
	settlesIn := time.Until(p.predecessorGone.Add(reportSettleTime))
	p.mu.Unlock()
	if settlesIn > 0 && !sleep.For(ctx, settlesIn) {
		return
	}
	p.mu.Lock()
	in, requestedAt := s.inst, time.Now()
	s.reportRequestedAt = requestedAt
	p.mu.Unlock()
	r, err := p.client.report(ctx, in)
	if ctx.Err() != nil {
		// The planner stops; that tells nothing of the server.
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && s.replaced(r) {
		err = errReplaced
	}
	if err != nil {
		p.markLost(s, err)
		return
	}
	first := !s.known
	if first || s.lost {
		s.lost, s.departureRecorded = false, false
	}
	before, refuted := s.sequence, s.known && r.Sequence < s.sequence
	applied := s.applyReport(r, requestedAt, time.Now())
	p.logReport(s, r, before, refuted && applied)
	if applied && first {
		p.adoptInheritedLoad(s)
		p.log.Infow("first report of a server read; planning with it", "Instance", s.inst.ID, "Born", s.inst.Born, "Sequence", r.Sequence, "Models", r.Models, "Adapters", len(r.Adapters), "OnDisk", r.OnDisk, "InMemory", r.InMemory)
	}
	p.wake()
}

// logReport logs what a report tells of orders without an answer. The caller must hold p.mu.
func (p *Planner) logReport(s *server, r site.ServerReport, before int64, refuted bool) {
	for _, x := range s.settled {
		p.log.Infow("order without an answer settled", "Instance", s.inst.ID, "Unload", x.order.Unload, "Model", x.order.Target.Model, "Adapter", x.order.Target.Name,
			"Precondition", x.order.Sequence, "Sequence", r.Sequence, "Overtaken", x.overtaken, "Age", time.Since(x.sentAt).String())
	}
	s.settled = nil
	if refuted {
		p.log.Warnw("sequence number refuted by reports", "Instance", s.inst.ID, "Believed", before, "Sequence", r.Sequence, "Unsettled", len(s.sent))
	}
	if s.unexplainedAt.After(s.unexplainedLogged) {
		s.unexplainedLogged = s.unexplainedAt
		p.log.Warnw("server has accepted orders that this planner doesn't know; its list may lag", "Instance", s.inst.ID, "Believed", before, "Sequence", r.Sequence)
	}
}

// IdentityFinder finds out which instance runs at an address in place of the one that the view names.
type IdentityFinder interface {
	Suspect(in site.Instance)
}

// SetIdentities sets the finder of replaced servers; call it before Run.
func (p *Planner) SetIdentities(f IdentityFinder) {
	p.identities = f
}

// markLost marks a server as unreachable or replaced, so that it gets no orders; not if this process
// had no descriptor for a connection to it.
// The caller must hold p.mu.
func (p *Planner) markLost(s *server, err error) {
	if conns.IsOwnShortage(err) {
		return
	}
	if errors.Is(err, errReplaced) && p.identities != nil {
		p.identities.Suspect(s.inst)
	}
	if !s.lost {
		p.log.Warnw("server lost", "Instance", s.inst.ID, "Born", s.inst.Born, "Error", err.Error())
		s.lost, s.lostSince = true, time.Now()
		p.wake()
	}
}

// wake triggers a planning step.
func (p *Planner) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// markUsed updates the last use of a model and of the adapter.
func (s *server) markUsed(t site.Target, now time.Time) {
	if h := s.models[t.Model]; h != nil {
		h.lastUse = now
	}
	if h := s.adapters[t]; h != nil {
		h.lastUse = now
	}
}
