package permit

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the rate and concurrency that the weight store serves at full speed.
type Limits struct {
	// Models and Adapters bound the concurrent loads of each kind.
	Models   int
	Adapters int
	// Rate bounds the model loads that begin per second.
	Rate float64
}

// DefaultLimits returns the weight store's published limits.
func DefaultLimits() Limits {
	return Limits{Models: 4, Adapters: 30, Rate: 2}
}

// permitTTL is the time after which a permit that was not returned no longer counts against the limits.
const permitTTL = 2 * time.Minute

// Ask is a request for a permit to load a model or an adapter.
type Ask struct {
	ID      string
	Adapter bool
	// Rank is the priority of the request class, 0 the highest. Deadline is the earliest among the waiting requests.
	Rank     int
	Deadline time.Time
}

type heldPermit struct {
	ask     Ask
	expires time.Time
}

// Desk grants permits in order of rank and deadline, with a token bucket for the
// rate of model loads. Its state is not persisted: after a restart it doesn't
// know the running loads, which may slow loads down but breaks nothing.
type Desk struct {
	limits     Limits
	waiting    []Ask
	held       map[string]heldPermit
	tokens     float64
	refilledAt time.Time
}

// NewDesk returns a desk with no permits held.
func NewDesk(limits Limits, now time.Time) *Desk {
	return &Desk{limits: limits, held: map[string]heldPermit{}, tokens: 1, refilledAt: now}
}

// Add queues a request for a permit, replacing a queued one with the same ID.
func (d *Desk) Add(a Ask) {
	d.Drop(a.ID)
	at, _ := slices.BinarySearchFunc(d.waiting, a, compareUrgency)
	d.waiting = slices.Insert(d.waiting, at, a)
}

func compareUrgency(a, b Ask) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline))
}

// Drop removes a queued request.
func (d *Desk) Drop(id string) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool { return a.ID == id })
}

// Return releases a granted permit.
func (d *Desk) Return(id string) {
	delete(d.held, id)
}

// Grant grants permits to queued requests as far as the limits allow and returns those requests.
func (d *Desk) Grant(now time.Time) []Ask {
	d.refill(now)
	for id, h := range d.held {
		if now.After(h.expires) {
			delete(d.held, id)
		}
	}
	var granted []Ask
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool {
		if !d.acquire(a.Adapter) {
			return false
		}
		d.held[a.ID] = heldPermit{a, now.Add(permitTTL)}
		granted = append(granted, a)
		return true
	})
	return granted
}

// Next returns the time until the token bucket allows another model load. It is
// 0 if nothing is queued or only a returned permit can help.
func (d *Desk) Next(time.Time) time.Duration {
	if len(d.waiting) == 0 || d.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - d.tokens) / d.limits.Rate * float64(time.Second))
}

func (d *Desk) refill(now time.Time) {
	d.tokens = min(float64(d.limits.Models), d.tokens+now.Sub(d.refilledAt).Seconds()*d.limits.Rate)
	d.refilledAt = now
}

// acquire takes a permit of the given kind and reports whether one was free.
func (d *Desk) acquire(adapter bool) bool {
	models, adapters := 0, 0
	for _, h := range d.held {
		if h.ask.Adapter {
			adapters++
		} else {
			models++
		}
	}
	if adapter {
		return adapters < d.limits.Adapters
	}
	if models >= d.limits.Models || d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}
