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
	"foxtailcroft/internal/link/fanout"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
)

// Condition is one aspect of a resource's state.
type Condition struct {
	Type   string
	Status bool
	Reason string
	// Since is when this entry first saw the condition with its present status and reason.
	Since time.Time
}

// Status is the reported state of a resource.
type Status struct {
	ObservedGeneration int64
	Conditions         []Condition
	// Decided, Loaded and Loading count a model's slots: all, those with the model
	// in memory, and those loading it.
	Decided int
	Loaded  int
	Loading int
	// InForceOn is how many of the Nodes apply the resource's revision or a later one.
	InForceOn int
	Nodes     int
	Replicas  []Replica `json:",omitempty"`
}

// Replica is the state of one slot of a model as its agent reports it. If the
// agent doesn't answer, Unreachable is true, State is Dormant and the reported
// values are zero.
type Replica struct {
	Endpoint string
	Domain   string
	// Decision is the slot's state in the plan, State that of the replica in the engine.
	Decision plan.SlotState
	State    string
	// LastWake is when the last load of the model started, ColdP99 the 99th
	// percentile of its recent load times.
	LastWake time.Time
	ColdP99  kinds.Duration
	// IdleHours is the total time for which the model was loaded without a running request.
	IdleHours float64
	// Running and Queued are numbers of requests.
	Running     int
	Queued      int
	Unreachable bool `json:",omitempty"`
}

// Cluster is the state of all models, endpoints and nodes.
type Cluster struct {
	Revision  int64
	Models    []ModelStatus
	Endpoints []EndpointStatus
	Nodes     []NodeStatus
}

// ModelStatus is a model's name and status.
type ModelStatus struct {
	Name string
	Status
}

// EndpointStatus is the state of one endpoint. If its agent doesn't answer,
// Unreachable is true, and UsedBytes, Queued and Leaving are zero.
type EndpointStatus struct {
	Name   string
	Domain string
	// Epoch is the fencing token of the endpoint's agent.
	Epoch       int64
	Service     string `json:",omitempty"`
	MemoryBytes int64
	UsedBytes   int64
	// Queued is the number of waiting requests.
	Queued      int
	Leaving     bool
	Unreachable bool `json:",omitempty"`
}

// NodeStatus is the state of one node. Revision is the one that the node applies;
// 0 if no relay knows it.
type NodeStatus struct {
	Name     string
	Role     plan.Role
	Domain   string
	Revision int64
}

const (
	// agentCallTimeout bounds one call to an agent or a relay.
	agentCallTimeout = 1500 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls to agents or relays.
	maxConcurrentCalls = 16
)

// Reporter gathers status from agents and relays.
type Reporter struct {
	holder *view.Holder
	pool   *peer.Pool
	relay  *fanout.Relay
	mu     sync.Mutex
	// lastConditions holds, by resource key and condition type, the conditions last derived.
	lastConditions map[string]Condition
}

// NewReporter returns a reporter on the resources and nodes in the holder's view.
func NewReporter(holder *view.Holder, p *peer.Pool, relay *fanout.Relay) *Reporter {
	return &Reporter{holder: holder, pool: p, relay: relay, lastConditions: map[string]Condition{}}
}

// agentReports returns the reports of the named agents, without those that don't answer.
func (r *Reporter) agentReports(ctx context.Context, names []string) map[string]wire.Report {
	v := r.holder.View()
	var mu sync.Mutex
	out := map[string]wire.Report{}
	workers := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, name := range names {
		node, ok := v.Node(name)
		if !ok {
			continue
		}
		workers.Go(func() {
			report, err := r.agentReport(ctx, node)
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

// agentReport returns an agent's report, or an error if it doesn't answer within agentCallTimeout.
func (r *Reporter) agentReport(ctx context.Context, node plan.Node) (wire.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	var report wire.Report
	conn, err := r.pool.Get(ctx, node.Address)
	if err != nil {
		return report, err
	}
	return report, conn.Call(ctx, wire.MethodReport, struct{}{}, &report)
}

// revisionsInForce returns the revision that each node applies, gathered from
// the relays of each failure domain. Nodes that no relay knows are absent.
func (r *Reporter) revisionsInForce(ctx context.Context) map[string]int64 {
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
	merge(r.relay.AppliedRevisions(ctx))
	workers := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, nodes := range domains {
		for _, relay := range fanout.SortByRank(nodes)[:min(fanout.ParentCount, len(nodes))] {
			workers.Go(func() { merge(r.appliedRevisions(ctx, relay)) })
		}
	}
	workers.Wait()
	return out
}

// appliedRevisions returns the revisions of the nodes that a relay knows, or nil if it doesn't answer.
func (r *Reporter) appliedRevisions(ctx context.Context, relay plan.Node) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	var applied wire.Applied
	conn, err := r.pool.Get(ctx, relay.Address)
	if err != nil || conn.Call(ctx, wire.MethodApplied, struct{}{}, &applied) != nil {
		return nil
	}
	return applied.Nodes
}

// StatusOf returns the status of one resource.
func (r *Reporter) StatusOf(ctx context.Context, res kinds.Resource) Status {
	v := r.holder.View()
	var reports map[string]wire.Report
	if res.Kind == kinds.Model {
		reports = r.agentReports(ctx, slotEndpoints(v, res.Name))
	}
	return r.buildStatus(v, res, reports, r.revisionsInForce(ctx))
}

// slotEndpoints returns the endpoints of a model's slots.
func slotEndpoints(v *view.View, model string) []string {
	var out []string
	for _, s := range v.Plan(plan.ModelKey(model)).Slots {
		out = append(out, s.Endpoint)
	}
	return out
}

// buildStatus returns a resource's status from the agents' reports and the
// nodes' revisions in force.
func (r *Reporter) buildStatus(v *view.View, res kinds.Resource, reports map[string]wire.Report, inForce map[string]int64) Status {
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
		r.addReplicas(v, res.Name, reports, &st)
	}
	r.addConditions(v, res, &st)
	return st
}

// addReplicas adds a model's replicas and their counts to the status.
func (r *Reporter) addReplicas(v *view.View, model string, reports map[string]wire.Report, st *Status) {
	for _, slot := range v.Plan(plan.ModelKey(model)).Slots {
		replica := Replica{Endpoint: slot.Endpoint, Domain: slot.Domain, Decision: slot.State, State: "Dormant"}
		report, ok := reports[slot.Endpoint]
		replica.Unreachable = !ok
		for _, i := range report.Items {
			if i.Model == model && i.Adapter == "" {
				replica.State, replica.Running, replica.Queued = i.State, i.Running, i.Queued
				replica.LastWake, replica.ColdP99, replica.IdleHours = i.LastWake, kinds.Duration(i.ColdP99), i.Idle.Hours()
			}
		}
		st.Decided++
		switch replica.State {
		case "Loaded", "Unloading":
			st.Loaded++
		case "Loading":
			st.Loading++
		}
		st.Replicas = append(st.Replicas, replica)
	}
}

// addConditions derives the conditions Ready, Progressing and Degraded.
func (r *Reporter) addConditions(v *view.View, res kinds.Resource, st *Status) {
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
	unreachable := 0
	for _, replica := range st.Replicas {
		if replica.Unreachable {
			unreachable++
		}
	}
	if unreachable > 0 {
		degraded, degradedReason = true, "EndpointsUnreachable"
		if unreachable == st.Decided {
			ready, readyReason = false, "EndpointsUnreachable"
		}
	}
	st.Conditions = []Condition{
		r.withSince(res, Condition{Type: "Ready", Status: ready, Reason: readyReason}),
		r.withSince(res, Condition{Type: "Progressing", Status: progressing, Reason: progressReason}),
		r.withSince(res, Condition{Type: "Degraded", Status: degraded, Reason: degradedReason}),
	}
}

// withSince returns the condition with Since set: the earlier time if neither
// status nor reason has changed, else now.
func (r *Reporter) withSince(res kinds.Resource, c Condition) Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := res.Key() + "/" + c.Type
	old, ok := r.lastConditions[key]
	c.Since = old.Since
	if !ok || old.Status != c.Status || old.Reason != c.Reason {
		c.Since = time.Now().UTC()
	}
	r.lastConditions[key] = c
	return c
}

// Cluster returns the state of all models, endpoints and nodes.
func (r *Reporter) Cluster(ctx context.Context) Cluster {
	v := r.holder.View()
	var agents []string
	for name, n := range v.Nodes() {
		if n.Role == plan.Agent {
			agents = append(agents, name)
		}
	}
	reports, inForce := r.agentReports(ctx, agents), r.revisionsInForce(ctx)
	out := Cluster{Revision: v.Revision()}
	for _, m := range v.Resources(kinds.Model) {
		out.Models = append(out.Models, ModelStatus{m.Name, r.buildStatus(v, m, reports, inForce)})
	}
	for _, n := range v.Nodes() {
		out.Nodes = append(out.Nodes, NodeStatus{n.Name, n.Role, n.Domain, inForce[n.Name]})
		if n.Role == plan.Agent {
			report, ok := reports[n.Name]
			out.Endpoints = append(out.Endpoints, EndpointStatus{
				Name: n.Name, Domain: n.Domain, Epoch: n.Epoch, Service: n.Service, MemoryBytes: n.MemoryBytes,
				UsedBytes: report.UsedBytes, Queued: report.Queued, Leaving: report.Leaving, Unreachable: !ok,
			})
		}
	}
	slices.SortFunc(out.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Endpoints, func(a, b EndpointStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}
