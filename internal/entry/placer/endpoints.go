package placer

import (
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/policy/place"
)

// endpointSet holds the endpoints that one planning step may place slots on.
type endpointSet struct {
	byName map[string]*place.Endpoint
	// cacheTiers holds, by endpoint and model, where the checkpoint is cached: "memory" or "disk".
	cacheTiers map[string]map[string]string
}

// newEndpointSet returns the engine endpoints that aren't leaving, each with the
// memory reserved for its planned slots.
func newEndpointSet(v *view.View, leaving map[string]bool, cacheTiers map[string]map[string]string) *endpointSet {
	set := &endpointSet{byName: map[string]*place.Endpoint{}, cacheTiers: cacheTiers}
	for name, n := range v.Nodes() {
		if isEngineAgent(n) && !leaving[name] {
			set.byName[name] = &place.Endpoint{Name: name, Domain: n.Domain, MemoryBytes: n.MemoryBytes}
		}
	}
	for name, m := range v.Models() {
		for _, s := range v.Plan(plan.ModelKey(name)).Slots {
			set.addReserved(s.Endpoint, m.Model.MemoryBytes)
		}
	}
	return set
}

// isEngineAgent reports whether a node is an agent that fronts a model engine.
func isEngineAgent(n plan.Node) bool {
	return n.Role == plan.Agent && n.Back == plan.EngineEndpoint
}

// addReserved adds bytes to the memory reserved on an endpoint, if the set has it.
func (set *endpointSet) addReserved(endpoint string, bytes int64) {
	if e := set.byName[endpoint]; e != nil {
		e.ReservedBytes += bytes
	}
}

// cacheTierRanks orders cache tiers by load speed; a checkpoint that isn't cached ranks 0.
var cacheTierRanks = map[string]int{"memory": 2, "disk": 1}

// chooseEndpoint returns the endpoint for one more slot of a model, or false if none fits.
func (set *endpointSet) chooseEndpoint(m kinds.Resource, p plan.Plan) (place.Endpoint, bool) {
	request := place.Request{Model: m.Name, Bytes: m.Model.MemoryBytes, AllowedDomains: m.Model.Domains}
	for _, s := range p.Slots {
		request.UsedDomains = append(request.UsedDomains, s.Domain)
		request.UsedEndpoints = append(request.UsedEndpoints, s.Endpoint)
	}
	candidates := make([]place.Endpoint, 0, len(set.byName))
	for name, e := range set.byName {
		candidate := *e
		candidate.CheckpointTier = cacheTierRanks[set.cacheTiers[name][m.Name]]
		candidates = append(candidates, candidate)
	}
	return place.Choose(request, candidates)
}

// markReleasing sets the state Releasing on slots above MaxReplicas and on slots
// that no longer fit their endpoint. A slot that doesn't fit but whose domain is
// still allowed stays until another endpoint can replace it. It returns the plan
// and the audit action, which is the given one if no slot was marked.
func (set *endpointSet) markReleasing(m kinds.Resource, p plan.Plan, action string) (plan.Plan, string) {
	active := p.ActiveSlots()
	for len(active) > m.Model.MaxReplicas {
		p, action = p.WithSlotState(active[len(active)-1].Number, plan.Releasing), "SlotReleasing"
		active = p.ActiveSlots()
	}
	for _, s := range active {
		if set.slotFits(m, s) {
			continue
		}
		if _, ok := set.chooseEndpoint(m, p); ok || !set.domainAllowed(m, s) {
			p, action = p.WithSlotState(s.Number, plan.Releasing), "SlotReleasing"
		}
	}
	return p, action
}

// slotFits reports whether a slot's endpoint is available, large enough for the
// model, and in a domain that the model allows.
func (set *endpointSet) slotFits(m kinds.Resource, s plan.Slot) bool {
	e := set.byName[s.Endpoint]
	return e != nil && e.MemoryBytes >= m.Model.MemoryBytes && set.domainAllowed(m, s)
}

// domainAllowed reports whether the model may run in the slot's failure domain;
// a model that lists no domains may run in any.
func (set *endpointSet) domainAllowed(m kinds.Resource, s plan.Slot) bool {
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
