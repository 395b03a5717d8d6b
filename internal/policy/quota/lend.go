package quota

import (
	"math"
	"time"
)

// Ask is what a front asks of the bucket of an account.
type Ask struct {
	// Needs are the costs of requests that wait.
	Needs []float64
	// Ahead is what the front expects to use within LeaseTime, in multiples of Unit.
	Ahead float64
	Unit  float64
	// Lease is the number of the lease that ends with this, and Unused what is left of it; 0 for none.
	Lease  int64
	Unused float64
	// Refund is the cost of requests that have not run.
	Refund float64
}

// Grant is what a front gets: for each need 0 or the wait after which the request may come
// back, and tokens ahead under a numbered lease.
type Grant struct {
	Waits []time.Duration
	Ahead float64
	Lease int64
}

// Lend takes back what a front returns and lends it what it asks for, as far as there is enough.
// Advance must have been called for the same time.
func (b *Bucket) Lend(a Ask) Grant {
	var g Grant
	b.takeBack(a.Lease, a.Unused)
	b.Refund(a.Refund)
	for _, cost := range a.Needs {
		wait, _ := b.Take(cost)
		g.Waits = append(g.Waits, wait)
	}
	if b.promised > 0 || b.level <= 0 || !(a.Unit > 0) {
		return g
	}
	g.Ahead = math.Floor(min(a.Ahead, b.level/aheadDivisor)/a.Unit) * a.Unit
	if g.Ahead <= 0 {
		g.Ahead = 0
		return g
	}
	b.level -= g.Ahead
	b.spent += g.Ahead
	b.lent += g.Ahead
	g.Lease = b.firstNumber + int64(len(b.leases))
	b.leases = append(b.leases, lease{tokens: g.Ahead, end: b.at + LeaseTime + returnTime})
	return g
}

// takeBack ends a lease and takes back what is unused; nothing if the lease has ended.
func (b *Bucket) takeBack(number int64, unused float64) {
	i := number - b.firstNumber
	if i < 0 || i >= int64(len(b.leases)) {
		return
	}
	l := &b.leases[i]
	back := max(0, min(unused, l.tokens))
	b.lent -= l.tokens
	b.level += back
	b.spent -= back
	l.tokens = 0
}
