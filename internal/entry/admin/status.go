package admin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/spread"
	"foxtailcroft/internal/link/wire"
)

// Condition is one aspect of a resource's state.
type Condition struct {
	Type   string
	Status bool
	Reason string
	// Since is when the condition was first seen as it is by this entry.
	Since time.Time
}

// Status is the reported state of a resource.
type Status struct {
	ObservedGeneration int64
	Conditions         []Condition
	// Decided, Loaded and Loading count the replicas of a model.
	Decided int
	Loaded  int
	Loading int
	// InForceOn is the number of nodes that apply the resource's revision, of Nodes.
	InForceOn int
	Nodes     int
	Replicas  []Replica `json:",omitempty"`
}

// Replica is one slot of a model as its agent reports it.
type Replica struct {
	Endpoint    string
	Domain      string
	Decision    plan.State
	State       string
	LastWake    time.Time
	ColdP99     kinds.Duration
	IdleHours   float64
	Running     int
	Queued      int
	Unreachable bool `json:",omitempty"`
}

// Cluster is the state of all endpoints and nodes.
type Cluster struct {
	Revision  int64
	Models    []ModelLine
	Endpoints []EndpointLine
	Nodes     []NodeLine
}

// ModelLine is a model's name and status.
type ModelLine struct {
	Name string
	Status
}

// EndpointLine is the state of one endpoint.
type EndpointLine struct {
	Name        string
	Domain      string
	Epoch       int64
	Service     string `json:",omitempty"`
	MemoryBytes int64
	UsedBytes   int64
	Queued      int
	Leaving     bool
	Unreachable bool `json:",omitempty"`
}

// NodeLine is the revision that a node has in force; 0 if no relay has heard of it.
type NodeLine struct {
	Name     string
	Role     plan.Role
	Domain   string
	Revision int64
}

const (
	reportTimeout = 1500 * time.Millisecond
	// reportsAtOnce bounds the agents that are asked side by side.
	reportsAtOnce = 16
)

// Reporter gathers status from agents and relays.
type Reporter struct {
	holder *view.Holder
	pool   *peer.Pool
	relay  *spread.Relay
	mu     sync.Mutex
	seen   map[string]Condition
}

// NewReporter returns a reporter of what the holder declares.
func NewReporter(holder *view.Holder, p *peer.Pool, relay *spread.Relay) *Reporter {
	return &Reporter{holder: holder, pool: p, relay: relay, seen: map[string]Condition{}}
}

// reports asks the named agents for their state.
func (r *Reporter) reports(ctx context.Context, names []string) map[string]wire.Report {
	v := r.holder.View()
	var mu sync.Mutex
	out := map[string]wire.Report{}
	workers := pool.New().WithMaxGoroutines(reportsAtOnce)
	for _, name := range names {
		node, ok := v.Node(name)
		if !ok {
			continue
		}
		workers.Go(func() {
			report, err := r.report(ctx, node)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = report
		})
	}
	workers.Wait()
	return out
}

func (r *Reporter) report(ctx context.Context, node plan.Node) (wire.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report wire.Report
	conn, err := r.pool.Get(ctx, node.Address)
	if err != nil {
		return report, err
	}
	return report, conn.Call(ctx, wire.MethodReport, struct{}{}, &report)
}

// inForce returns the revisions that nodes have in force, gathered from the relays of each failure domain.
func (r *Reporter) inForce(ctx context.Context) map[string]int64 {
	v := r.holder.View()
	domains := map[string][]plan.Node{}
	for _, n := range v.Nodes() {
		domains[n.Domain] = append(domains[n.Domain], n)
	}
	out := map[string]int64{}
	var mu sync.Mutex
	merge := func(applied map[string]int64) {
		mu.Lock()
		defer mu.Unlock()
		for node, rev := range applied {
			out[node] = max(out[node], rev)
		}
	}
	merge(r.relay.Applied(ctx))
	workers := pool.New().WithMaxGoroutines(reportsAtOnce)
	for _, nodes := range domains {
		for _, relay := range spread.Rank(nodes)[:min(spread.Parents, len(nodes))] {
			workers.Go(func() { merge(r.appliedAt(ctx, relay)) })
		}
	}
	workers.Wait()
	return out
}

func (r *Reporter) appliedAt(ctx context.Context, relay plan.Node) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var applied wire.Applied
	conn, err := r.pool.Get(ctx, relay.Address)
	if err != nil || conn.Call(ctx, wire.MethodApplied, struct{}{}, &applied) != nil {
		return nil
	}
	return applied.Nodes
}

// Of returns the status of one resource.
func (r *Reporter) Of(ctx context.Context, res kinds.Resource) Status {
	v := r.holder.View()
	var reports map[string]wire.Report
	if res.Kind == kinds.Model {
		reports = r.reports(ctx, endpointsOf(v, res.Name))
	}
	return r.status(v, res, reports, r.inForce(ctx))
}

func endpointsOf(v *view.View, model string) []string {
	var out []string
	for _, s := range v.Plan(plan.ModelKey(model)).Slots {
		out = append(out, s.Endpoint)
	}
	return out
}

// status builds a resource's status from what was gathered.
func (r *Reporter) status(v *view.View, res kinds.Resource, reports map[string]wire.Report, inForce map[string]int64) Status {
	st := Status{Nodes: len(v.Nodes())}
	if current, ok := v.Entry(res.Key()); ok && current.Revision >= res.Revision {
		st.ObservedGeneration = res.Generation
	}
	for node := range v.Nodes() {
		if inForce[node] >= res.Revision {
			st.InForceOn++
		}
	}
	if res.Kind == kinds.Model {
		r.replicas(v, res.Name, reports, &st)
	}
	r.conditions(v, res, &st)
	return st
}

// replicas fills in the slots of a model.
func (r *Reporter) replicas(v *view.View, model string, reports map[string]wire.Report, st *Status) {
	for _, slot := range v.Plan(plan.ModelKey(model)).Slots {
		line := Replica{Endpoint: slot.Endpoint, Domain: slot.Domain, Decision: slot.State, State: "Dormant"}
		report, ok := reports[slot.Endpoint]
		line.Unreachable = !ok
		for _, i := range report.Items {
			if i.Model == model && i.Adapter == "" {
				line.State, line.Running, line.Queued = i.State, i.Running, i.Queued
				line.LastWake, line.ColdP99, line.IdleHours = i.LastWake, kinds.Duration(i.ColdP99), i.Idle.Hours()
			}
		}
		st.Decided++
		switch line.State {
		case "Loaded", "Unloading":
			st.Loaded++
		case "Loading":
			st.Loading++
		}
		st.Replicas = append(st.Replicas, line)
	}
}

// conditions derives Ready, Progressing and Degraded.
func (r *Reporter) conditions(v *view.View, res kinds.Resource, st *Status) {
	ready, readyReason := true, "InForce"
	progressing, progressReason := false, "Settled"
	degraded, degradedReason := false, "AllReachable"
	if st.InForceOn < st.Nodes {
		progressing, progressReason = true, "Spreading"
	}
	switch {
	case res.Kind == kinds.Model && st.Decided == 0:
		ready, readyReason = false, "NoSlotDecided"
		progressing, progressReason = true, "WaitingForPlanner"
	case res.Kind == kinds.Model && st.Loaded < res.Model.MinReplicas:
		ready, readyReason = false, "MinReplicasNotLoaded"
		progressing, progressReason = true, "Loading"
	case res.Kind == kinds.Model && st.Loading > 0:
		progressing, progressReason = true, "Loading"
	case res.Kind == kinds.Service && len(v.Endpoints(res.Name)) == 0:
		ready, readyReason = false, "NoEndpoint"
	}
	lost := 0
	for _, l := range st.Replicas {
		if l.Unreachable {
			lost++
		}
	}
	if lost > 0 {
		degraded, degradedReason = true, "EndpointsUnreachable"
		if lost == st.Decided {
			ready, readyReason = false, "EndpointsUnreachable"
		}
	}
	st.Conditions = []Condition{
		r.since(res, Condition{Type: "Ready", Status: ready, Reason: readyReason}),
		r.since(res, Condition{Type: "Progressing", Status: progressing, Reason: progressReason}),
		r.since(res, Condition{Type: "Degraded", Status: degraded, Reason: degradedReason}),
	}
}

// since fills in when the condition became what it is.
func (r *Reporter) since(res kinds.Resource, c Condition) Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := res.Key() + "/" + c.Type
	old, ok := r.seen[key]
	c.Since = old.Since
	if !ok || old.Status != c.Status || old.Reason != c.Reason {
		c.Since = time.Now().UTC()
	}
	r.seen[key] = c
	return c
}

// Cluster returns the state of everything.
func (r *Reporter) Cluster(ctx context.Context) Cluster {
	v := r.holder.View()
	var agents []string
	for name, n := range v.Nodes() {
		if n.Role == plan.Agent {
			agents = append(agents, name)
		}
	}
	reports, inForce := r.reports(ctx, agents), r.inForce(ctx)
	out := Cluster{Revision: v.Revision()}
	for _, m := range v.Resources(kinds.Model) {
		out.Models = append(out.Models, ModelLine{m.Name, r.status(v, m, reports, inForce)})
	}
	for _, n := range v.Nodes() {
		out.Nodes = append(out.Nodes, NodeLine{n.Name, n.Role, n.Domain, inForce[n.Name]})
		if n.Role == plan.Agent {
			report, ok := reports[n.Name]
			out.Endpoints = append(out.Endpoints, EndpointLine{
				Name: n.Name, Domain: n.Domain, Epoch: n.Epoch, Service: n.Service, MemoryBytes: n.MemoryBytes,
				UsedBytes: report.UsedBytes, Queued: report.Queued, Leaving: report.Leaving, Unreachable: !ok,
			})
		}
	}
	slices.SortFunc(out.Nodes, func(a, b NodeLine) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Endpoints, func(a, b EndpointLine) int { return strings.Compare(a.Name, b.Name) })
	return out
}
