package plan

import (
	"fmt"
	"slices"
	"strings"
)

// State says whether the endpoint of a slot may load the replica.
type State string

// The states of a slot.
const (
	// Active slots may be woken by their endpoint's agent at any time.
	Active State = "Active"
	// Releasing slots may not be woken; they count as loaded until the agent has confirmed the release.
	Releasing State = "Releasing"
)

// Slot is one decided replica. A slot leaves the plan only after its
// endpoint's agent has confirmed the release or the platform's list has
// dropped the endpoint, so loaded replicas never pass the number of slots.
type Slot struct {
	// Number identifies the slot within its plan and is never used again.
	Number   int64
	Endpoint string
	Domain   string
	State    State
}

// Plan is the decision for one model, or for the claim partitions of one service.
type Plan struct {
	// Target is the model's name, or the service's name for claim partitions.
	Target string
	// Slots are in order of preference: requests go to the first that serves.
	Slots []Slot
	// NextNumber is the number of the next slot.
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

// At returns the slot at the endpoint, if there is one.
func (p Plan) At(endpoint string) (Slot, bool) {
	for _, s := range p.Slots {
		if s.Endpoint == endpoint {
			return s, true
		}
	}
	return Slot{}, false
}

// Active returns the slots that may be woken.
func (p Plan) Active() []Slot {
	var out []Slot
	for _, s := range p.Slots {
		if s.State == Active {
			out = append(out, s)
		}
	}
	return out
}

// WithSlot returns the plan with one more active slot at its end.
func (p Plan) WithSlot(endpoint, domain string) Plan {
	p.Slots = append(slices.Clone(p.Slots), Slot{Number: p.NextNumber, Endpoint: endpoint, Domain: domain, State: Active})
	p.NextNumber++
	return p
}

// WithState returns the plan with the numbered slot in another state.
func (p Plan) WithState(number int64, state State) Plan {
	p.Slots = slices.Clone(p.Slots)
	for i := range p.Slots {
		if p.Slots[i].Number == number {
			p.Slots[i].State = state
		}
	}
	return p
}

// WithOwner returns the plan with slot i given to another endpoint under a new number.
func (p Plan) WithOwner(i int, endpoint, domain string) Plan {
	p.Slots = slices.Clone(p.Slots)
	p.Slots[i] = Slot{Number: p.NextNumber, Endpoint: endpoint, Domain: domain, State: Active}
	p.NextNumber++
	return p
}

// Without returns the plan without the numbered slot.
func (p Plan) Without(number int64) Plan {
	p.Slots = slices.DeleteFunc(slices.Clone(p.Slots), func(s Slot) bool { return s.Number == number })
	return p
}

// String lists the slots for logs and audit records.
func (p Plan) String() string {
	var parts []string
	for _, s := range p.Slots {
		parts = append(parts, fmt.Sprintf("%d@%s:%s", s.Number, s.Endpoint, s.State))
	}
	return strings.Join(parts, " ")
}
