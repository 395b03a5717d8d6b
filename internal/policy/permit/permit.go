package permit

import (
	"cmp"
	"slices"
	"time"
)

// Limits are what the weight store bears at full speed.
type Limits struct {
	// Models and Adapters bound the loads in transit.
	Models   int
	Adapters int
	// Rate bounds the model loads that begin each second.
	Rate float64
}

// DefaultLimits are the weight store's published figures.
func DefaultLimits() Limits {
	return Limits{Models: 4, Adapters: 30, Rate: 2}
}

// expiry is how long a permit that is not given back is held against the limits.
const expiry = 2 * time.Minute

// Ask is a wish to load.
type Ask struct {
	ID      string
	Adapter bool
	// Rank is the class's rank, 0 most pressing; Deadline the most urgent waiter's.
	Rank     int
	Deadline time.Time
}

type held struct {
	ask     Ask
	expires time.Time
}

// Desk grants permits in order of rank and deadline. Its state is soft: a new
// desk that knows of no load under way costs speed, not safety.
type Desk struct {
	limits  Limits
	waiting []Ask
	held    map[string]held
	tokens  float64
	filled  time.Time
}

// NewDesk returns a desk with all permits free.
func NewDesk(limits Limits, now time.Time) *Desk {
	return &Desk{limits: limits, held: map[string]held{}, tokens: 1, filled: now}
}

// Add queues a wish; a wish known by its ID is renewed.
func (d *Desk) Add(a Ask) {
	d.Drop(a.ID)
	at, _ := slices.BinarySearchFunc(d.waiting, a, compare)
	d.waiting = slices.Insert(d.waiting, at, a)
}

func compare(a, b Ask) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline))
}

// Drop takes back a wish that waits.
func (d *Desk) Drop(id string) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool { return a.ID == id })
}

// Return gives a permit back.
func (d *Desk) Return(id string) {
	delete(d.held, id)
}

// Grant returns the wishes that may begin now.
func (d *Desk) Grant(now time.Time) []Ask {
	d.refill(now)
	for id, h := range d.held {
		if now.After(h.expires) {
			delete(d.held, id)
		}
	}
	var granted []Ask
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool {
		if !d.take(a.Adapter) {
			return false
		}
		d.held[a.ID] = held{a, now.Add(expiry)}
		granted = append(granted, a)
		return true
	})
	return granted
}

// Next returns when Grant may have more to give; 0 if only a returned permit changes that.
func (d *Desk) Next(time.Time) time.Duration {
	if len(d.waiting) == 0 || d.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - d.tokens) / d.limits.Rate * float64(time.Second))
}

func (d *Desk) refill(now time.Time) {
	d.tokens = min(float64(d.limits.Models), d.tokens+now.Sub(d.filled).Seconds()*d.limits.Rate)
	d.filled = now
}

// take uses up a free permit of the kind, if there is one.
func (d *Desk) take(adapter bool) bool {
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
