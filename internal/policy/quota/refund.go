package quota

import "time"

const (
	// RefundTime is how long a refund is repeated to a front that does not answer: until the end of a
	// lease that began as it was first sent, and for as long after it as unused tokens are taken back.
	RefundTime = LeaseTime + returnTime
	// ledgerTime is how long the totals of a front are remembered without a refund. A repeated refund
	// that arrives later, from a connection that was interrupted for that long, counts twice.
	ledgerTime = time.Minute
)

// RefundTotal is what a front has given back to a lender so far. A total may be sent again and may
// arrive twice or out of order, since only the difference from the highest one counts.
type RefundTotal struct {
	// From and To are the processes of the front and the lender.
	From string
	To   string
	// Series numbers the totals that begin at 0 again; a later one has a higher number.
	Series int64
	Total  float64
}

// RefundLog holds the refunds that a front owes to an account's issuer; the zero value has none.
type RefundLog struct {
	unsent float64
	to     string
	series int64
	total  float64
	// confirmed is the part of the total that the lender has confirmed, and since is when the rest was
	// first sent.
	confirmed float64
	since     time.Duration
}

// Add adds the cost of requests that have not run.
func (r *RefundLog) Add(tokens float64) {
	r.unsent += tokens
}

// TakeUnsent takes out what has been sent to no lender.
func (r *RefundLog) TakeUnsent() float64 {
	unsent := r.unsent
	r.unsent = 0
	return unsent
}

// expire drops what a lender has not confirmed for RefundTime.
func (r *RefundLog) expire(now time.Duration) {
	if r.total > r.confirmed && now > r.since+RefundTime {
		r.to, r.total, r.confirmed = "", 0, 0
	}
}

// IsDue reports whether there is something to send.
func (r *RefundLog) IsDue(now time.Duration) bool {
	r.expire(now)
	return r.unsent > 0 || r.total > r.confirmed
}

// Next returns the total to send to a lender, nil if there is nothing. What another process may have
// taken without an answer is dropped.
func (r *RefundLog) Next(now time.Duration, from, to string) *RefundTotal {
	if !r.IsDue(now) {
		return nil
	}
	if r.to != to {
		r.to, r.series, r.total, r.confirmed = to, max(r.series+1, int64(now)), 0, 0
	}
	// Refunds that come while a total is unconfirmed wait, so that each is repeated for RefundTime.
	if r.total <= r.confirmed {
		r.since = now
		r.total += r.TakeUnsent()
	}
	if r.total <= r.confirmed {
		return nil
	}
	return &RefundTotal{From: from, To: to, Series: r.series, Total: r.total}
}

// Confirm records that the lender has taken a total; nil is none.
func (r *RefundLog) Confirm(t *RefundTotal) {
	if t != nil && t.Series == r.series {
		r.confirmed = max(r.confirmed, t.Total)
	}
}

// RefundLedger holds the totals that fronts have given back to an account; the zero value has none.
type RefundLedger struct {
	seen map[string]seenTotal
}

// seenTotal is the highest total of a front's latest series.
type seenTotal struct {
	series int64
	total  float64
	at     time.Duration
}

// Credit records a total and returns what it adds.
func (l *RefundLedger) Credit(now time.Duration, t RefundTotal) float64 {
	s, known := l.seen[t.From]
	if !known {
		l.forget(now)
	}
	if t.Series < s.series {
		return 0
	}
	if t.Series > s.series {
		s = seenTotal{series: t.Series}
	}
	credit := max(0, t.Total-s.total)
	s.total, s.at = s.total+credit, now
	l.seen[t.From] = s
	return credit
}

// forget drops the totals of fronts that have given back nothing for ledgerTime.
func (l *RefundLedger) forget(now time.Duration) {
	if l.seen == nil {
		l.seen = map[string]seenTotal{}
	}
	for from, s := range l.seen {
		if now > s.at+ledgerTime {
			delete(l.seen, from)
		}
	}
}
