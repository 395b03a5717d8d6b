package placer

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/link/wire"
	"foxtailcroft/internal/plat/fleet"
	"foxtailcroft/internal/plat/ledger"
	"foxtailcroft/internal/plat/store"
)

// Planner assigns model slots and claim partitions to endpoints.
type Planner struct {
	NodeName  string
	Holder    *view.Holder
	Store     store.Store
	Ledger    *ledger.Ledger
	Instances fleet.List
	Pool      *peer.Pool
	Log       *zap.Logger
	// GoneAfter is how long an instance must be absent from the platform's list
	// before its node is deleted; it must exceed the list's lag.
	GoneAfter time.Duration

	// missingSince holds when a node was first absent from the list, and
	// unreachableSince when it first couldn't be reached.
	missingSince     map[string]time.Time
	unreachableSince map[string]time.Time
	// leaving holds the instances that the list shows as leaving.
	leaving map[string]bool
	// cacheTiers holds, by endpoint and model, where the checkpoint is cached.
	// lastPolled is the endpoint polled last for it.
	cacheTiers map[string]map[string]string
	lastPolled string
	// listReadAt is when the platform's list was last read without an error; zero before that.
	listReadAt time.Time
}

// listInterval is the shortest time between successful reads of the platform's list.
const listInterval = 2 * time.Second

// resetObservations clears what was observed under an earlier lease.
func (p *Planner) resetObservations() {
	p.missingSince, p.unreachableSince = map[string]time.Time{}, map[string]time.Time{}
	p.leaving, p.cacheTiers = map[string]bool{}, map[string]map[string]string{}
	p.listReadAt = time.Time{}
}

// Step runs one planning step: it moves the stored plans towards the declared
// resources and the instances that the platform lists.
func (p *Planner) Step(ctx context.Context) {
	v := p.Holder.View()
	if p.missingSince == nil {
		p.resetObservations()
	}
	if time.Since(p.listReadAt) >= listInterval {
		p.readInstanceList(ctx, v)
		p.pollCacheTiers(ctx, v)
	}
	p.deleteGoneNodes(ctx, v)
	endpoints := newEndpointSet(v, p.leaving, p.cacheTiers)
	for _, m := range v.Resources(kinds.Model) {
		p.planModel(ctx, v, endpoints, m)
	}
	p.planDeletedModels(ctx, v)
	for _, s := range v.Resources(kinds.Service) {
		p.planPartitions(ctx, v, s)
	}
}

// readInstanceList records which nodes are leaving and which are absent from the
// platform's list. If the list can't be read, the earlier records stay.
func (p *Planner) readInstanceList(ctx context.Context, v *view.View) {
	instances, err := p.Instances.Instances(ctx)
	if err != nil {
		return
	}
	p.listReadAt = time.Now()
	listed := map[string]bool{}
	leaving := map[string]bool{}
	for _, i := range instances {
		listed[i.Name] = true
		leaving[i.Name] = i.Leaving
	}
	p.leaving = leaving
	for name := range v.Nodes() {
		if listed[name] {
			delete(p.missingSince, name)
			continue
		}
		if _, ok := p.missingSince[name]; !ok {
			p.missingSince[name] = p.listReadAt
		}
	}
}

// maxPolledEndpoints bounds the endpoints polled for cache tiers at each read of the list.
const maxPolledEndpoints = 8

// pollCacheTiers polls the next few endpoints, round robin, for the checkpoints they cache.
func (p *Planner) pollCacheTiers(ctx context.Context, v *view.View) {
	var names []string
	for name, n := range v.Nodes() {
		if isEngineAgent(n) && !p.leaving[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, p.lastPolled+"\x00")
	for i := range min(maxPolledEndpoints, len(names)) {
		p.lastPolled = names[(first+i)%len(names)]
		p.cacheTiers[p.lastPolled] = p.cacheTiersAt(ctx, v, p.lastPolled)
	}
}

// cacheTiersAt returns the cache tier of each checkpoint at an endpoint, or nil if it doesn't answer.
func (p *Planner) cacheTiersAt(ctx context.Context, v *view.View, name string) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	node, _ := v.Node(name)
	conn, err := p.Pool.Get(ctx, node.Address)
	if err != nil {
		return nil
	}
	var report wire.Report
	if conn.Call(ctx, wire.MethodReport, struct{}{}, &report) != nil {
		return nil
	}
	return report.Cached
}

// deleteGoneNodes deletes the nodes that have been absent from the list for GoneAfter.
func (p *Planner) deleteGoneNodes(ctx context.Context, v *view.View) {
	for name, since := range p.missingSince {
		if _, ok := v.Node(name); !ok {
			delete(p.missingSince, name)
			continue
		}
		if time.Since(since) >= p.GoneAfter {
			p.writeDecision(ctx, v, plan.NodeKey(name), nil, "NodeGone")
		}
	}
}

// writeDecision writes one planning decision if the key is still at the view's
// revision; a nil value deletes the key. It reports whether the write succeeded.
func (p *Planner) writeDecision(ctx context.Context, v *view.View, key string, value any, action string) bool {
	before, _ := v.Entry(key)
	c := ledger.Change{Key: key, Before: before.Value, From: before.Revision, Actor: p.NodeName, Action: action}
	if value != nil {
		after, err := json.Marshal(value)
		if err != nil {
			p.Log.Error("planning decision could not be encoded and is dropped", zap.String("Key", key), zap.Error(err))
			return false
		}
		c.After = after
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := p.Ledger.Write(ctx, c); err != nil {
		p.Log.Info("planning decision not written; the next planning step decides again", zap.String("Key", key), zap.String("Action", action), zap.Error(err))
		return false
	}
	return true
}

// writeTimeout bounds the write of one decision.
const writeTimeout = 3 * time.Second

// planModel updates one model's plan: it removes lost and released slots, starts
// the release of surplus ones, and adds slots up to MaxReplicas.
func (p *Planner) planModel(ctx context.Context, v *view.View, endpoints *endpointSet, m kinds.Resource) {
	key := plan.ModelKey(m.Name)
	before := v.Plan(key)
	after, action := before, ""
	after.Target = m.Name
	for _, s := range before.Slots {
		if _, ok := v.Node(s.Endpoint); !ok {
			after, action = after.WithoutSlot(s.Number), "SlotLost"
		}
	}
	after, action = p.removeReleased(ctx, v, after, action)
	after, action = endpoints.markReleasing(m, after, action)
	for len(after.Slots) < m.Model.MaxReplicas {
		e, ok := endpoints.chooseEndpoint(m, after)
		if !ok {
			break
		}
		after, action = after.WithSlot(e.Name, e.Domain), "SlotDecided"
		endpoints.addReserved(e.Name, m.Model.MemoryBytes)
	}
	if action != "" {
		p.writeDecision(ctx, v, key, after, action)
	}
}

// removeReleased removes the slots in state Releasing whose agents confirm the release.
func (p *Planner) removeReleased(ctx context.Context, v *view.View, after plan.Plan, action string) (plan.Plan, string) {
	entry, _ := v.Entry(plan.ModelKey(after.Target))
	for _, s := range after.Slots {
		if s.State == plan.Releasing && p.releaseConfirmed(ctx, v, after.Target, s, entry.Revision) {
			after, action = after.WithoutSlot(s.Number), "SlotReleased"
		}
	}
	return after, action
}

// agentCallTimeout bounds one call or connection attempt to an agent.
const agentCallTimeout = time.Second

// releaseConfirmed asks the slot's agent whether the slot is released. The slot
// of a deleted node counts as released.
func (p *Planner) releaseConfirmed(ctx context.Context, v *view.View, model string, s plan.Slot, revision int64) bool {
	node, ok := v.Node(s.Endpoint)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	conn, err := p.Pool.Get(ctx, node.Address)
	if err != nil || conn.RemoteHello().Node != node.Name {
		return false
	}
	var reply wire.ReleaseReply
	err = conn.Call(ctx, wire.MethodRelease, wire.Release{Model: model, Number: s.Number, Revision: revision}, &reply)
	return err == nil && reply.Released
}

// planDeletedModels releases the slots of models that are no longer declared and
// deletes their plans once no slot is left.
func (p *Planner) planDeletedModels(ctx context.Context, v *view.View) {
	for _, key := range v.PlanKeys() {
		model, ok := strings.CutPrefix(key, "Plan/")
		if !ok {
			continue
		}
		if _, declared := v.Model(model); declared {
			continue
		}
		after, action := p.removeReleased(ctx, v, v.Plan(key), "")
		for _, s := range after.ActiveSlots() {
			after, action = after.WithSlotState(s.Number, plan.Releasing), "SlotReleasing"
		}
		switch {
		case len(after.Slots) == 0:
			p.writeDecision(ctx, v, key, nil, "PlanDeleted")
		case action != "":
			p.writeDecision(ctx, v, key, after, action)
		}
	}
}

// partitionMoveDelay is how long the owner of a claim partition may be unreachable before the partition moves.
const partitionMoveDelay = 4 * time.Second

// planPartitions assigns each claim partition of a service to an endpoint. A
// partition moves without the old owner's confirmation, because the claim log
// itself fences that owner off.
func (p *Planner) planPartitions(ctx context.Context, v *view.View, s kinds.Resource) {
	key := plan.ClaimKey(s.Name)
	after, action := v.Plan(key), ""
	after.Target = s.Name
	partitionsByOwner := map[string]int{}
	for _, name := range v.Endpoints(s.Name) {
		if !p.leaving[name] && !p.unreachable(ctx, v, name) {
			partitionsByOwner[name] = 0
		}
	}
	if len(partitionsByOwner) == 0 {
		return
	}
	for _, slot := range after.Slots {
		if _, ok := partitionsByOwner[slot.Endpoint]; ok {
			partitionsByOwner[slot.Endpoint]++
		}
	}
	for i := range s.Service.Partitions() {
		if i < len(after.Slots) {
			if _, ok := partitionsByOwner[after.Slots[i].Endpoint]; ok {
				continue
			}
		}
		name := keyOfMinimum(partitionsByOwner)
		node, _ := v.Node(name)
		partitionsByOwner[name]++
		if i < len(after.Slots) {
			after, action = after.WithOwner(i, name, node.Domain), "PartitionMoved"
		} else {
			after, action = after.WithSlot(name, node.Domain), "PartitionDecided"
		}
	}
	if action != "" {
		p.writeDecision(ctx, v, key, after, action)
	}
}

// unreachable reports whether a node is deleted or has been unreachable for partitionMoveDelay.
func (p *Planner) unreachable(ctx context.Context, v *view.View, name string) bool {
	node, ok := v.Node(name)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	if _, err := p.Pool.Get(ctx, node.Address); err == nil {
		delete(p.unreachableSince, name)
		return false
	}
	if _, ok := p.unreachableSince[name]; !ok {
		p.unreachableSince[name] = time.Now()
	}
	return time.Since(p.unreachableSince[name]) >= partitionMoveDelay
}

// keyOfMinimum returns the key with the smallest count, and the first in
// alphabetical order among equals.
func keyOfMinimum(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	return slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
}
