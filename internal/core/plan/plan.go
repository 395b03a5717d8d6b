package plan

import (
	"fmt"
	"slices"
	"strings"
)

// SlotState says whether the endpoint of a slot may load the replica.
type SlotState string

// The states of a slot.
const (
	// Active allows the endpoint's agent to load the replica at any time.
	Active SlotState = "Active"
	// Releasing forbids loading; the slot counts as loaded until the agent has confirmed the release.
	Releasing SlotState = "Releasing"
)

// Slot is the placement of one replica on an endpoint. It is removed from the plan
// only after the endpoint's agent has confirmed the release or the platform's list
// no longer has the endpoint, so that there are never more loaded replicas than slots.
type Slot struct {
	// Number identifies the slot within its plan and is never reused.
	Number   int64
	Endpoint string
	Domain   string
	State    SlotState
}

// Plan is the placement of one model's replicas, or of one service's claim partitions.
type Plan struct {
	// Target is the model's name, or the service's name for claim partitions.
	Target string
	// Slots are in order of preference: a request goes to the first one that can serve it.
	Slots []Slot
	// NextNumber is the Number that the next new slot gets.
	NextNumber int64
}

// ModelKey returns the configuration key of a model's plan.
func ModelKey(model string) string {
	return "Plan/" + model
}

// ClaimKey returns the configuration key of a service's claim partitions; slot i of the plan owns partition i.
func ClaimKey(service string) string {
	return "Claims/" + service
}

// SlotAt returns the plan's slot on the endpoint and whether there is one.
func (p Plan) SlotAt(endpoint string) (Slot, bool) {
	for _, s := range p.Slots {
		if s.Endpoint == endpoint {
			return s, true
		}
	}
	return Slot{}, false
}

// ActiveSlots returns the slots in state Active, in order of preference.
func (p Plan) ActiveSlots() []Slot {
	var out []Slot
	for _, s := range p.Slots {
		if s.State == Active {
			out = append(out, s)
		}
	}
	return out
}

// WithSlot returns a copy of the plan with an active slot on the endpoint appended.
func (p Plan) WithSlot(endpoint, domain string) Plan {
	p.Slots = append(slices.Clone(p.Slots), Slot{Number: p.NextNumber, Endpoint: endpoint, Domain: domain, State: Active})
	p.NextNumber++
	return p
}

// WithSlotState returns a copy of the plan with the numbered slot in the state.
func (p Plan) WithSlotState(number int64, state SlotState) Plan {
	p.Slots = slices.Clone(p.Slots)
	for i := range p.Slots {
		if p.Slots[i].Number == number {
			p.Slots[i].State = state
		}
	}
	return p
}

// WithOwner returns a copy of the plan with slot i moved to another endpoint under a new number.
func (p Plan) WithOwner(i int, endpoint, domain string) Plan {
	p.Slots = slices.Clone(p.Slots)
	p.Slots[i] = Slot{Number: p.NextNumber, Endpoint: endpoint, Domain: domain, State: Active}
	p.NextNumber++
	return p
}

// WithoutSlot returns a copy of the plan without the numbered slot.
func (p Plan) WithoutSlot(number int64) Plan {
	p.Slots = slices.DeleteFunc(slices.Clone(p.Slots), func(s Slot) bool { return s.Number == number })
	return p
}

// String returns the slots as Number@Endpoint:State, for logs and audit records.
func (p Plan) String() string {
	var parts []string
	for _, s := range p.Slots {
		parts = append(parts, fmt.Sprintf("%d@%s:%s", s.Number, s.Endpoint, s.State))
	}
	return strings.Join(parts, " ")
}
