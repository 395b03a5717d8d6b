package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/crew"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
)

const (
	// reportEvery is how often the planner reads each model server's report.
	reportEvery = time.Second
	// reportGap is the least time between two reports on average, so that their number does not grow with the servers.
	reportGap = 5 * time.Millisecond
	// boardSize bounds the servers on a board: the busiest ones, which others are to avoid.
	boardSize = 64
	// stepGap is the least time between two looks, in which changes gather.
	stepGap = 5 * time.Millisecond
	// restShare is how many times as long as a look takes the planner rests
	// after it, so that planning leaves the processor to requests.
	restShare = 3
	// stepEvery bounds the time between two looks at what is wanted.
	stepEvery = 100 * time.Millisecond
	// useFor is how long a usage report is valid.
	useFor = 3 * time.Second
)

// Settings are what the planner needs to know of the deployment.
type Settings struct {
	Node        string
	ChecksFence bool
	// LoadWindow is the span over which loads from the weight store are counted.
	LoadWindow time.Duration
	// TurnGap is the least time between orders of two planners to one server that does not check fences.
	TurnGap time.Duration
}

// Planner gives orders while its front holds the lease.
type Planner struct {
	set   Settings
	lead  *Lead
	state func() *follow.State
	wire  *wire
	log   *zap.SugaredLogger
	group *crew.Group

	mu      sync.Mutex
	fence   int64
	deposed int64
	// since is when this front took over.
	since   time.Time
	servers map[site.Key]*server
	wants   map[site.Adapter]*wanted
	placing map[site.Adapter]bool
	// inherited are the loads that were under way when another planner was last heard of.
	inherited map[site.Key]inherited
	// expected is when models will be served that a server loads once it is free.
	expected map[string]time.Time
	uses     map[string]usage
	demand   demand
	loads    []time.Time
	pace     pace.Loads
	board    []peers.Load
	boardAt  time.Time
	kick     chan struct{}
	orders   *metrics.Counter
	cold     *metrics.Counter
}

// usage is a front's last report of its requests in flight.
type usage struct {
	at       time.Time
	inFlight map[site.Key]map[site.Adapter]int
}

// New returns a planner and the function that waits for its orders to end.
func New(set Settings, lead *Lead, state func() *follow.State, pool *conns.Pool, d Dialect, meters *metrics.Set, log *zap.SugaredLogger) (*Planner, func()) {
	group := &crew.Group{}
	p := &Planner{
		set: set, lead: lead, state: state, wire: &wire{pool: pool, dialect: d}, log: log, group: group,
		servers: map[site.Key]*server{}, wants: map[site.Adapter]*wanted{}, placing: map[site.Adapter]bool{}, expected: map[string]time.Time{},
		uses: map[string]usage{}, demand: newDemand(), kick: make(chan struct{}, 1),
		orders: meters.GetOrCreateCounter("foxtailcroft_orders_total"), cold: meters.GetOrCreateCounter("foxtailcroft_store_loads_total"),
	}
	return p, group.Close
}

// Run looks at what is wanted whenever something changes, while the lease is held.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTicker(stepEvery)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.kick:
		case <-p.state().Next():
		case <-timer.C:
		}
		if !p.leads() {
			p.dismiss()
			continue
		}
		began := time.Now()
		p.refresh(ctx)
		p.step(ctx)
		p.answer()
		pause.For(ctx, max(stepGap, time.Since(began)*restShare))
	}
}

// RunReports reads the model servers' reports while the lease is held.
func (p *Planner) RunReports(ctx context.Context) {
	for pause.For(ctx, max(reportEvery, time.Duration(len(p.list()))*reportGap)) {
		if !p.leads() {
			continue
		}
		for _, s := range p.list() {
			p.group.Go(func() { p.readReport(ctx, s) })
		}
		p.logDemand()
	}
}

// leads takes note of the fencing number; a new one means that others may have given orders since.
func (p *Planner) leads() bool {
	fence, ok := p.lead.Fence(p.set.ChecksFence)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || fence == p.deposed {
		return false
	}
	if fence != p.fence {
		p.log.Infow("planning", "Fence", fence)
		p.fence = fence
		p.since = time.Now()
		p.servers = map[site.Key]*server{}
		p.placing = map[site.Adapter]bool{}
		p.demand = newDemand()
		// The planner before may have begun as many loads as run side by side.
		p.loads = slices.Repeat([]time.Time{p.since}, p.pace.AtOnce())
	}
	return p.set.ChecksFence || time.Since(p.since) >= p.set.TurnGap
}

// refresh takes over the announced instances; those that are new get their report read.
func (p *Planner) refresh(ctx context.Context) {
	state := p.state()
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[site.Key]bool{}
	for _, in := range state.Instances {
		svc := engineOf(state, in.Service)
		if svc == nil {
			continue
		}
		seen[in.Key] = true
		s := p.servers[in.Key]
		if s == nil {
			s = newServer(in)
			p.servers[in.Key] = s
			p.group.Go(func() { p.readReport(ctx, s) })
		}
		if s.inst.Seen != in.Seen {
			p.takeAnnounced(s, in)
		}
		s.inst = in
	}
	for key, s := range p.servers {
		if !seen[key] {
			delete(p.servers, key)
			s.renew()
		}
	}
}

// takeAnnounced notes a model whose load an announcement shows to be complete.
func (p *Planner) takeAnnounced(s *server, in site.Instance) {
	if s.awaited == "" || !s.busy || s.models[s.awaited] != nil || !slices.Contains(in.Models, s.awaited) {
		return
	}
	s.models[s.awaited] = keptOr(nil, time.Now())
	s.busy = false
	s.settled()
	s.renew()
	p.wake()
}

// engineOf returns the engine of a service, or nil.
func engineOf(s *follow.State, service string) *site.Engine {
	if s.Document == nil || s.Document.Services[service] == nil {
		return nil
	}
	return s.Document.Services[service].Engine
}

func (p *Planner) list() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, s)
	}
	return out
}

// readReport updates the belief of one server.
func (p *Planner) readReport(ctx context.Context, s *server) {
	p.mu.Lock()
	in := s.inst
	s.asked = time.Now()
	p.mu.Unlock()
	r, err := p.wire.report(ctx, in)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && s.replaced(r) {
		err = errMoved
	}
	if err != nil {
		p.markLost(s, err)
		return
	}
	s.lost = false
	first := !s.known
	if s.take(r, time.Now()) && first {
		p.inherit(s)
		p.log.Infow("server known", "Instance", s.inst.ID, "Born", s.inst.Born, "Sequence", r.Sequence, "Models", r.Models, "Adapters", len(r.Adapters), "OnDisk", r.OnDisk, "InMemory", r.InMemory)
	}
	p.wake()
}

// markLost notes that a server did not give its report.
func (p *Planner) markLost(s *server, err error) {
	if !s.lost {
		p.log.Warnw("server lost", "Instance", s.inst.ID, "Born", s.inst.Born, "Error", err.Error())
		s.lost = true
		p.wake()
	}
}

// wake makes the planner look again after a change of belief.
func (p *Planner) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// touch notes the use of a model and of its adapter.
func (s *server) touch(t site.Adapter, now time.Time) {
	if h := s.models[t.Model]; h != nil {
		h.lastUse = now
	}
	if h := s.adapters[t]; h != nil {
		h.lastUse = now
	}
}
