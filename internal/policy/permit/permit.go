package permit

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the rate and concurrency that the weight store serves at full speed.
type Limits struct {
	// ConcurrentModels and ConcurrentAdapters bound the concurrent loads of each kind.
	ConcurrentModels   int
	ConcurrentAdapters int
	// ModelsPerSecond bounds the model loads that begin per second.
	ModelsPerSecond float64
}

// DefaultLimits returns the weight store's published limits.
func DefaultLimits() Limits {
	return Limits{ConcurrentModels: 4, ConcurrentAdapters: 30, ModelsPerSecond: 2}
}

// permitTTL is the time after which a permit that was not returned no longer counts against the limits.
const permitTTL = 2 * time.Minute

// Request is a request for a permit to load a model or an adapter.
type Request struct {
	ID      string
	Adapter bool
	// Rank is the priority of the request class, 0 the highest. Deadline is the earliest
	// deadline among the callers' requests that wait for the load.
	Rank     int
	Deadline time.Time
}

// heldPermit is a granted permit that has not been released.
type heldPermit struct {
	request Request
	expires time.Time
}

// Limiter grants permits in order of rank and deadline, with a token bucket for the
// rate of model loads. Its state is not persisted: after a restart it doesn't
// know the running loads, which may slow loads down but breaks nothing.
type Limiter struct {
	limits     Limits
	waiting    []Request
	held       map[string]heldPermit
	tokens     float64
	refilledAt time.Time
}

// NewLimiter returns a limiter that holds no permits and allows one model load at once.
func NewLimiter(limits Limits, now time.Time) *Limiter {
	return &Limiter{limits: limits, held: map[string]heldPermit{}, tokens: 1, refilledAt: now}
}

// Enqueue queues a request for a permit, replacing a queued one with the same ID.
func (d *Limiter) Enqueue(a Request) {
	d.Cancel(a.ID)
	i, _ := slices.BinarySearchFunc(d.waiting, a, compareUrgency)
	d.waiting = slices.Insert(d.waiting, i, a)
}

// compareUrgency orders requests by rank, then by deadline.
func compareUrgency(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline))
}

// Cancel removes a queued request.
func (d *Limiter) Cancel(id string) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a Request) bool { return a.ID == id })
}

// Release releases a granted permit.
func (d *Limiter) Release(id string) {
	delete(d.held, id)
}

// Grant grants permits to queued requests as far as the limits allow and returns those requests.
func (d *Limiter) Grant(now time.Time) []Request {
	d.refill(now)
	for id, h := range d.held {
		if now.After(h.expires) {
			delete(d.held, id)
		}
	}
	var granted []Request
	d.waiting = slices.DeleteFunc(d.waiting, func(a Request) bool {
		if !d.acquire(a.Adapter) {
			return false
		}
		d.held[a.ID] = heldPermit{a, now.Add(permitTTL)}
		granted = append(granted, a)
		return true
	})
	return granted
}

// RetryIn returns the time until the token bucket allows another model load, counted
// from the last call of Grant. It is 0 if nothing is queued or the bucket has a
// token, so that only a released permit can help.
func (d *Limiter) RetryIn(time.Time) time.Duration {
	if len(d.waiting) == 0 || d.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - d.tokens) / d.limits.ModelsPerSecond * float64(time.Second))
}

// refill adds the tokens since the last refill; the bucket holds at most ConcurrentModels.
func (d *Limiter) refill(now time.Time) {
	d.tokens = min(float64(d.limits.ConcurrentModels), d.tokens+now.Sub(d.refilledAt).Seconds()*d.limits.ModelsPerSecond)
	d.refilledAt = now
}

// acquire reports whether the limits allow one more load of the given kind, and
// takes a token for a model load.
func (d *Limiter) acquire(adapter bool) bool {
	models, adapters := 0, 0
	for _, h := range d.held {
		if h.request.Adapter {
			adapters++
		} else {
			models++
		}
	}
	if adapter {
		return adapters < d.limits.ConcurrentAdapters
	}
	if models >= d.limits.ConcurrentModels || d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}
