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

// Placer plans slots and claim partitions.
type Placer struct {
	Self   string
	Holder *view.Holder
	Store  store.Store
	Ledger *ledger.Ledger
	List   fleet.List
	Pool   *peer.Pool
	Log    *zap.Logger
	// GoneAfter is how long the platform's list must lack an instance before
	// it counts as gone; it must exceed the list's lag.
	GoneAfter time.Duration

	// missing is when the list first lacked a node, and silent when a node first could not be reached.
	missing map[string]time.Time
	silent  map[string]time.Time
	leaving map[string]bool
	// near is how near checkpoints are at each endpoint, and asked the endpoint that was asked last.
	near   map[string]map[string]string
	asked  string
	listed time.Time
}

// listEvery is how often the platform's list is read.
const listEvery = 2 * time.Second

// reset forgets what an earlier tenure saw.
func (p *Placer) reset() {
	p.missing, p.silent = map[string]time.Time{}, map[string]time.Time{}
	p.leaving, p.near = map[string]bool{}, map[string]map[string]string{}
	p.listed = time.Time{}
}

// Step brings the plan one step towards what is declared and listed.
func (p *Placer) Step(ctx context.Context) {
	v := p.Holder.View()
	if p.missing == nil {
		p.reset()
	}
	if time.Since(p.listed) >= listEvery {
		p.readList(ctx, v)
		p.readNear(ctx, v)
	}
	p.dropGone(ctx, v)
	board := newBoard(v, p.leaving, p.near)
	for _, m := range v.Resources(kinds.Model) {
		p.planModel(ctx, v, board, m)
	}
	p.planDeleted(ctx, v)
	for _, s := range v.Resources(kinds.Service) {
		p.planClaims(ctx, v, s)
	}
}

// readList notes which nodes are leaving and which the list lacks.
func (p *Placer) readList(ctx context.Context, v *view.View) {
	instances, err := p.List.Instances(ctx)
	if err != nil {
		return
	}
	p.listed = time.Now()
	live := map[string]bool{}
	leaving := map[string]bool{}
	for _, i := range instances {
		live[i.Name] = true
		leaving[i.Name] = i.Leaving
	}
	p.leaving = leaving
	for name := range v.Nodes() {
		if live[name] {
			delete(p.missing, name)
			continue
		}
		if _, ok := p.missing[name]; !ok {
			p.missing[name] = p.listed
		}
	}
}

// nearAtOnce bounds the endpoints that are asked at each reading of the list.
const nearAtOnce = 8

// readNear asks the next few endpoints, in turn, how near their checkpoints are.
func (p *Placer) readNear(ctx context.Context, v *view.View) {
	var names []string
	for name, n := range v.Nodes() {
		if takesSlots(n) && !p.leaving[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, p.asked+"\x00")
	for i := range min(nearAtOnce, len(names)) {
		p.asked = names[(first+i)%len(names)]
		p.near[p.asked] = p.cachedAt(ctx, v, p.asked)
	}
}

// cachedAt returns how near an endpoint's checkpoints are, or nothing if it does not answer.
func (p *Placer) cachedAt(ctx context.Context, v *view.View, name string) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
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

// dropGone deletes the nodes that the list has lacked for long enough.
func (p *Placer) dropGone(ctx context.Context, v *view.View) {
	for name, since := range p.missing {
		if _, ok := v.Node(name); !ok {
			delete(p.missing, name)
			continue
		}
		if time.Since(since) >= p.GoneAfter {
			p.write(ctx, v, plan.NodeKey(name), nil, "NodeGone")
		}
	}
}

// write commits one decision against the revision that the view shows.
func (p *Placer) write(ctx context.Context, v *view.View, key string, value any, action string) bool {
	before, _ := v.Entry(key)
	c := ledger.Change{Key: key, Before: before.Value, From: before.Revision, Actor: p.Self, Action: action}
	if value != nil {
		after, err := json.Marshal(value)
		if err != nil {
			p.Log.Error("decision cannot be encoded", zap.String("Key", key), zap.Error(err))
			return false
		}
		c.After = after
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := p.Ledger.Write(ctx, c); err != nil {
		p.Log.Info("decision not written", zap.String("Key", key), zap.String("Action", action), zap.Error(err))
		return false
	}
	return true
}

const writeTimeout = 3 * time.Second

// planModel moves one model's plan.
func (p *Placer) planModel(ctx context.Context, v *view.View, b *board, m kinds.Resource) {
	key := plan.ModelKey(m.Name)
	before := v.Plan(key)
	after, action := before, ""
	after.Target = m.Name
	for _, s := range before.Slots {
		if _, ok := v.Node(s.Endpoint); !ok {
			after, action = after.Without(s.Number), "SlotLost"
		}
	}
	after, action = p.release(ctx, v, after, action)
	after, action = b.retire(m, after, action)
	for len(after.Slots) < m.Model.MaxReplicas {
		e, ok := b.choose(m, after)
		if !ok {
			break
		}
		after, action = after.WithSlot(e.Name, e.Domain), "SlotDecided"
		b.promise(e.Name, m.Model.MemoryBytes)
	}
	if action != "" {
		p.write(ctx, v, key, after, action)
	}
}

// release takes out the slots whose agents confirm that they are released.
func (p *Placer) release(ctx context.Context, v *view.View, after plan.Plan, action string) (plan.Plan, string) {
	entry, _ := v.Entry(plan.ModelKey(after.Target))
	for _, s := range after.Slots {
		if s.State == plan.Releasing && p.confirmed(ctx, v, after.Target, s, entry.Revision) {
			after, action = after.Without(s.Number), "SlotReleased"
		}
	}
	return after, action
}

const releaseTimeout = time.Second

// confirmed asks the slot's agent whether the slot is released.
func (p *Placer) confirmed(ctx context.Context, v *view.View, model string, s plan.Slot, revision int64) bool {
	node, ok := v.Node(s.Endpoint)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	conn, err := p.Pool.Get(ctx, node.Address)
	if err != nil || conn.Remote().Node != node.Name {
		return false
	}
	var reply wire.ReleaseReply
	err = conn.Call(ctx, wire.MethodRelease, wire.Release{Model: model, Number: s.Number, Revision: revision}, &reply)
	return err == nil && reply.Released
}

// planDeleted releases the slots of models that are no longer declared.
func (p *Placer) planDeleted(ctx context.Context, v *view.View) {
	for _, key := range v.PlanKeys() {
		model, ok := strings.CutPrefix(key, "Plan/")
		if !ok {
			continue
		}
		if _, declared := v.Model(model); declared {
			continue
		}
		after, action := p.release(ctx, v, v.Plan(key), "")
		for _, s := range after.Active() {
			after, action = after.WithState(s.Number, plan.Releasing), "SlotReleasing"
		}
		switch {
		case len(after.Slots) == 0:
			p.write(ctx, v, key, nil, "PlanDeleted")
		case action != "":
			p.write(ctx, v, key, after, action)
		}
	}
}

// silentFor is how long the owner of a claim partition may be out of reach before the partition moves.
const silentFor = 4 * time.Second

// planClaims gives each claim partition of a service an owner. Moving one needs
// no word from the old owner, because the claim log itself keeps it out.
func (p *Placer) planClaims(ctx context.Context, v *view.View, s kinds.Resource) {
	key := plan.ClaimKey(s.Name)
	after, action := v.Plan(key), ""
	after.Target = s.Name
	owned := map[string]int{}
	for _, name := range v.Endpoints(s.Name) {
		if !p.leaving[name] && !p.unreachable(ctx, v, name) {
			owned[name] = 0
		}
	}
	if len(owned) == 0 {
		return
	}
	for _, slot := range after.Slots {
		if _, ok := owned[slot.Endpoint]; ok {
			owned[slot.Endpoint]++
		}
	}
	for i := range s.Service.Partitions() {
		if i < len(after.Slots) {
			if _, ok := owned[after.Slots[i].Endpoint]; ok {
				continue
			}
		}
		name := least(owned)
		node, _ := v.Node(name)
		owned[name]++
		if i < len(after.Slots) {
			after, action = after.WithOwner(i, name, node.Domain), "PartitionMoved"
		} else {
			after, action = after.WithSlot(name, node.Domain), "PartitionDecided"
		}
	}
	if action != "" {
		p.write(ctx, v, key, after, action)
	}
}

// unreachable reports whether a node has been out of reach for silentFor.
func (p *Placer) unreachable(ctx context.Context, v *view.View, name string) bool {
	node, ok := v.Node(name)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := p.Pool.Get(ctx, node.Address); err == nil {
		delete(p.silent, name)
		return false
	}
	if _, ok := p.silent[name]; !ok {
		p.silent[name] = time.Now()
	}
	return time.Since(p.silent[name]) >= silentFor
}

// least returns the name with the smallest count, the first by name among equals.
func least(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	return slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
}
