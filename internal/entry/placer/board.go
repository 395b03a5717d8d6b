package placer

import (
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/policy/place"
)

// board is what one planning step knows of the endpoints.
type board struct {
	endpoints map[string]*place.Endpoint
	near      map[string]map[string]string
}

// newBoard sums the memory promised on each endpoint that takes new slots.
func newBoard(v *view.View, leaving map[string]bool, near map[string]map[string]string) *board {
	b := &board{endpoints: map[string]*place.Endpoint{}, near: near}
	for name, n := range v.Nodes() {
		if takesSlots(n) && !leaving[name] {
			b.endpoints[name] = &place.Endpoint{Name: name, Domain: n.Domain, MemoryBytes: n.MemoryBytes}
		}
	}
	for name, m := range v.Models() {
		for _, s := range v.Plan(plan.ModelKey(name)).Slots {
			b.promise(s.Endpoint, m.Model.MemoryBytes)
		}
	}
	return b
}

// takesSlots reports whether a node stands beside a model engine.
func takesSlots(n plan.Node) bool {
	return n.Role == plan.Agent && n.Back == plan.EngineBack
}

func (b *board) promise(endpoint string, bytes int64) {
	if e := b.endpoints[endpoint]; e != nil {
		e.Promised += bytes
	}
}

// levels ranks how near a checkpoint is.
var levels = map[string]int{"memory": 2, "disk": 1}

// choose returns the endpoint of one more slot.
func (b *board) choose(m kinds.Resource, p plan.Plan) (place.Endpoint, bool) {
	need := place.Need{Model: m.Name, Bytes: m.Model.MemoryBytes, Domains: m.Model.Domains}
	for _, s := range p.Slots {
		need.Taken = append(need.Taken, s.Domain)
		need.Used = append(need.Used, s.Endpoint)
	}
	list := make([]place.Endpoint, 0, len(b.endpoints))
	for name, e := range b.endpoints {
		at := *e
		at.Near = levels[b.near[name][m.Name]]
		list = append(list, at)
	}
	return place.Choose(need, list)
}

// retire marks slots that have to go: those past the declared number, and
// those on endpoints that are leaving or no longer fit, where another endpoint can take over.
func (b *board) retire(m kinds.Resource, p plan.Plan, action string) (plan.Plan, string) {
	active := p.Active()
	for len(active) > m.Model.MaxReplicas {
		p, action = p.WithState(active[len(active)-1].Number, plan.Releasing), "SlotReleasing"
		active = p.Active()
	}
	for _, s := range active {
		if b.fits(m, s) {
			continue
		}
		if _, ok := b.choose(m, p); ok || !b.allowed(m, s) {
			p, action = p.WithState(s.Number, plan.Releasing), "SlotReleasing"
		}
	}
	return p, action
}

// fits reports whether a slot may stay.
func (b *board) fits(m kinds.Resource, s plan.Slot) bool {
	e := b.endpoints[s.Endpoint]
	return e != nil && e.MemoryBytes >= m.Model.MemoryBytes && b.allowed(m, s)
}

// allowed reports whether the model may be in the slot's failure domain.
func (b *board) allowed(m kinds.Resource, s plan.Slot) bool {
	if len(m.Model.Domains) == 0 {
		return true
	}
	for _, d := range m.Model.Domains {
		if d == s.Domain {
			return true
		}
	}
	return false
}
