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
	// downFor is how long an endpoint that could not be reached is tried last.
	downFor = 2 * time.Second
	// loadFor is how long a report of a loaded replica is believed.
	loadFor = 30 * time.Second
)

// Target is what a request is for: a model, or a plain service.
type Target struct {
	Model   string
	Service string
	// Prefix hashes what the request shares with others, for cache affinity; 0 for nothing.
	Prefix uint64
	// Partition is the claim partition of a keyed call; -1 for none.
	Partition int
}

type key struct {
	endpoint string
	target   string
}

type known struct {
	load wire.Load
	at   time.Time
	sent int
}

// Table is what an entry knows of endpoints. Entries follow only what they route to.
type Table struct {
	domain string
	mu     sync.Mutex
	loads  map[key]*known
	down   map[string]time.Time
	// leaving holds the epoch in which an endpoint said that it leaves.
	leaving map[string]int64
	rnd     *rand.Rand
}

// NewTable returns an empty table of an entry in a failure domain.
func NewTable(domain string, seed uint64) *Table {
	return &Table{
		domain: domain, loads: map[key]*known{}, down: map[string]time.Time{}, leaving: map[string]int64{},
		rnd: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (t Target) name() string {
	if t.Service != "" {
		return "/" + t.Service
	}
	return t.Model
}

// Sent counts a request sent to an endpoint until the returned function is called.
func (t *Table) Sent(endpoint string, target Target) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(endpoint, target)
	k.sent++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		k.sent = max(0, k.sent-1)
	})
}

func (t *Table) entry(endpoint string, target Target) *known {
	id := key{endpoint, target.name()}
	k := t.loads[id]
	if k == nil {
		k = &known{}
		t.loads[id] = k
	}
	return k
}

// Report notes the load that an endpoint told with a reply.
func (t *Table) Report(endpoint string, target Target, load wire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.entry(endpoint, target)
	k.load, k.at = load, time.Now()
	// The report counts own requests that have arrived, so only later ones are added to it.
	k.sent = 0
	delete(t.down, endpoint)
}

// Down notes that an endpoint could not be reached.
func (t *Table) Down(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down[endpoint] = time.Now()
}

// Leaving notes that an endpoint takes no new work in an epoch.
func (t *Table) Leaving(endpoint string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[endpoint] = max(t.leaving[endpoint], epoch)
}

// Candidates returns the endpoints that a target may be sent to, best slot first.
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
		for _, s := range v.Plan(plan.ModelKey(target.Model)).Active() {
			names = append(names, s.Endpoint)
		}
	}
	return names
}

// Pick returns the node to send to, leaving out those in tried; ok is false if none is left.
func (t *Table) Pick(v *view.View, target Target, tried map[string]bool) (plan.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var up, down []pick.Replica
	for _, name := range Candidates(v, target) {
		node, ok := v.Node(name)
		if !ok || tried[name] || t.leaving[name] >= node.Epoch {
			continue
		}
		r := t.replica(node, target)
		if time.Since(t.down[name]) < downFor {
			down = append(down, r)
		} else {
			up = append(up, r)
		}
	}
	if len(up) == 0 {
		up = down
	}
	if len(up) == 0 {
		return plan.Node{}, false
	}
	chosen := up[pick.Choose(up, target.Prefix, t.rnd)]
	node, _ := v.Node(chosen.Endpoint)
	return node, true
}

func (t *Table) replica(node plan.Node, target Target) pick.Replica {
	r := pick.Replica{Endpoint: node.Name, Local: node.Domain == t.domain, Loaded: target.Service != "", Capacity: 1}
	k := t.loads[key{node.Name, target.name()}]
	if k == nil {
		return r
	}
	fresh := time.Since(k.at) < loadFor
	r.Loaded = target.Service != "" || (k.load.Loaded && fresh)
	r.Running, r.Queued, r.Capacity, r.Sent = k.load.Running, k.load.Queued, k.load.Capacity, k.sent
	r.Service, r.Cold = k.load.Service, k.load.Cold
	return r
}

// BestWait returns the shortest forecast wait over the loaded replicas of a
// target; ok is false if none is known to be loaded.
func (t *Table) BestWait(v *view.View, target Target) (wait, service time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range Candidates(v, target) {
		node, exists := v.Node(name)
		if !exists {
			continue
		}
		r := t.replica(node, target)
		if w := pick.Forecast(r); r.Loaded && (!ok || w < wait) {
			wait, service, ok = w, r.Service, true
		}
	}
	return wait, service, ok
}
