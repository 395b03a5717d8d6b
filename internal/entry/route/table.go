package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/policy/pick"
)

const (
	// unreachableDemotion is how long an endpoint that couldn't be reached ranks behind all others.
	unreachableDemotion = 2 * time.Second
	// loadReportMaxAge is how long a report that a replica is loaded remains valid.
	loadReportMaxAge = 30 * time.Second
)

// Target is the destination of a request: a model, or a plain service.
type Target struct {
	Model   string
	Service string
	// PrefixHash hashes the adapter and prompt prefix that the request may share
	// with others, for cache affinity; 0 if there is none.
	PrefixHash uint64
	// Partition is the claim partition of a keyed call; -1 for none.
	Partition int
}

// loadKey identifies the load of one target at one endpoint.
type loadKey struct {
	endpoint string
	target   string
}

// knownLoad is the last reported load and the requests sent since that have not ended.
type knownLoad struct {
	load            wire.Load
	reportedAt      time.Time
	sentSinceReport int
}

// Table is an entry's record of its endpoints. It learns only of the endpoints
// that the entry itself sends to.
type Table struct {
	domain string
	mu     sync.Mutex
	loads  map[loadKey]*knownLoad
	// unreachableAt holds when each endpoint last couldn't be reached, until it reports a load.
	unreachableAt map[string]time.Time
	// leavingEpochs holds the highest epoch in which each endpoint announced that it is leaving.
	leavingEpochs map[string]int64
	rng           *rand.Rand
}

// NewTable returns an empty table for an entry in a failure domain; seed seeds
// the random choice between endpoints.
func NewTable(domain string, seed uint64) *Table {
	return &Table{
		domain: domain, loads: map[loadKey]*knownLoad{}, unreachableAt: map[string]time.Time{}, leavingEpochs: map[string]int64{},
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// loadName returns the model's name, or the service's name after a slash, which
// keeps the two apart.
func (t Target) loadName() string {
	if t.Service != "" {
		return "/" + t.Service
	}
	return t.Model
}

// TrackSent counts a request sent to an endpoint until the returned function is
// called or the endpoint's next load report includes the request.
func (t *Table) TrackSent(endpoint string, target Target) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.loadRecord(endpoint, target)
	k.sentSinceReport++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		k.sentSinceReport = max(0, k.sentSinceReport-1)
	})
}

// loadRecord returns the load record of a target at an endpoint and creates it if
// needed; the caller must hold mu.
func (t *Table) loadRecord(endpoint string, target Target) *knownLoad {
	id := loadKey{endpoint, target.loadName()}
	k := t.loads[id]
	if k == nil {
		k = &knownLoad{}
		t.loads[id] = k
	}
	return k
}

// RecordLoad records the load that an endpoint reported with a reply, and marks the endpoint reachable.
func (t *Table) RecordLoad(endpoint string, target Target, load wire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.loadRecord(endpoint, target)
	k.load, k.reportedAt = load, time.Now()
	// The report includes this entry's requests that have arrived, so only later ones are added to it.
	k.sentSinceReport = 0
	delete(t.unreachableAt, endpoint)
}

// MarkUnreachable records that an endpoint couldn't be reached just now.
func (t *Table) MarkUnreachable(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableAt[endpoint] = time.Now()
}

// MarkLeaving records that an endpoint takes no new work in an epoch.
func (t *Table) MarkLeaving(endpoint string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingEpochs[endpoint] = max(t.leavingEpochs[endpoint], epoch)
}

// Candidates returns the endpoints that may serve a target, in the order of the
// plan: the owner of the partition for a keyed call, else all endpoints of the
// service or all active slots of the model.
func Candidates(v *view.View, target Target) []string {
	var names []string
	switch {
	case target.Service != "" && target.Partition >= 0:
		owners := v.Plan(plan.ClaimKey(target.Service)).Slots
		if target.Partition < len(owners) {
			names = append(names, owners[target.Partition].Endpoint)
		}
	case target.Service != "":
		names = v.Endpoints(target.Service)
	default:
		for _, s := range v.Plan(plan.ModelKey(target.Model)).ActiveSlots() {
			names = append(names, s.Endpoint)
		}
	}
	return names
}

// Pick returns the node to send a request to, skipping those in tried and those
// that are leaving, or false if none is left. Endpoints that were recently
// unreachable are picked only if there is no other.
func (t *Table) Pick(v *view.View, target Target, tried map[string]bool) (plan.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reachable, unreachable []pick.Replica
	for _, name := range Candidates(v, target) {
		node, ok := v.Node(name)
		if !ok || tried[name] || t.leavingEpochs[name] >= node.Epoch {
			continue
		}
		r := t.pickReplica(node, target)
		if time.Since(t.unreachableAt[name]) < unreachableDemotion {
			unreachable = append(unreachable, r)
		} else {
			reachable = append(reachable, r)
		}
	}
	if len(reachable) == 0 {
		reachable = unreachable
	}
	if len(reachable) == 0 {
		return plan.Node{}, false
	}
	chosen := reachable[pick.Choose(reachable, target.PrefixHash, t.rng)]
	node, _ := v.Node(chosen.Endpoint)
	return node, true
}

// pickReplica returns the known state of a target at a node; the caller must hold
// mu. Before the first report, a model counts as not loaded and the capacity as 1.
func (t *Table) pickReplica(node plan.Node, target Target) pick.Replica {
	r := pick.Replica{Endpoint: node.Name, SameDomain: node.Domain == t.domain, Loaded: target.Service != "", Capacity: 1}
	k := t.loads[loadKey{node.Name, target.loadName()}]
	if k == nil {
		return r
	}
	fresh := time.Since(k.reportedAt) < loadReportMaxAge
	r.Loaded = target.Service != "" || (k.load.Loaded && fresh)
	r.Running, r.Queued, r.Capacity, r.SentSinceReport = k.load.Running, k.load.Queued, k.load.Capacity, k.sentSinceReport
	r.ServiceTime, r.ColdStart = k.load.Service, k.load.Cold
	return r
}

// BestWait returns the shortest forecast wait over the loaded replicas of a
// target, with that replica's mean service time; ok is false if none is known to be loaded.
func (t *Table) BestWait(v *view.View, target Target) (wait, service time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range Candidates(v, target) {
		node, exists := v.Node(name)
		if !exists {
			continue
		}
		r := t.pickReplica(node, target)
		if w := pick.ForecastWait(r); r.Loaded && (!ok || w < wait) {
			wait, service, ok = w, r.ServiceTime, true
		}
	}
	return wait, service, ok
}
