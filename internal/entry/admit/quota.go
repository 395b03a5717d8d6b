package admit

import (
	"sync"
	"time"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/policy/bucket"
)

// Quotas keeps the rate limits of client accounts at this entry. Each live entry has an equal share
// of an account's limit, so the entries need not ask each other.
type Quotas struct {
	mu       sync.Mutex
	revision int64
	entries  int
	buckets  map[string]*bucket.Bucket
}

// NewQuotas returns quotas of which nothing is used.
func NewQuotas() *Quotas {
	return &Quotas{buckets: map[string]*bucket.Bucket{}}
}

// Acquire counts a request of an account of the view. The returned function takes the request back
// if it has not run. The error is a QuotaExceeded *fault.Refusal if the account is over its limit.
func (q *Quotas) Acquire(v *view.View, account kinds.Resource, now time.Time) (func(), error) {
	if account.Account == nil || account.Account.RatePerSecond == 0 {
		return func() {}, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.adopt(v)
	limit := bucket.Limit{PerSecond: account.Account.RatePerSecond, Burst: account.Account.Burst}.Share(q.entries)
	b := q.buckets[account.Name]
	if b == nil {
		b = bucket.New(limit, now)
		q.buckets[account.Name] = b
	}
	wait, ok := b.Take(limit, now)
	if !ok {
		return nil, fault.NotRun(fault.QuotaExceeded, "account %q is over its limit of %g requests a second", account.Name, account.Account.RatePerSecond).WithRetryAfter(wait)
	}
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		b.Return()
	}), nil
}

// adopt counts the entries of a newer view and forgets the accounts that it lacks.
func (q *Quotas) adopt(v *view.View) {
	if v.Revision() <= q.revision {
		return
	}
	q.revision, q.entries = v.Revision(), 0
	for _, n := range v.Nodes() {
		if n.Role == plan.Entry {
			q.entries++
		}
	}
	for name := range q.buckets {
		if _, ok := v.Account(name); !ok {
			delete(q.buckets, name)
		}
	}
}
