package lender

import (
	"time"

	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/internal/policy/quota"
)

// role is what a front is for an account.
type role int

const (
	// borrower asks other fronts for tokens.
	borrower role = iota
	// issuer keeps the tokens.
	issuer
	// deputy lends while the issuer does not answer.
	deputy
)

// balance is what this front has borrowed ahead.
type balance struct {
	tokens float64
	// run is the process that gave the lease with this number.
	run   string
	lease int64
	end   time.Duration
}

// take takes the cost of a request; false if there is not enough or the lease has ended.
func (b *balance) take(now time.Duration, cost float64) bool {
	if cost > b.tokens || now >= b.end {
		return false
	}
	b.tokens -= cost
	return true
}

// account is what this front knows of an account's tokens.
type account struct {
	name    string
	limit   quota.Limit
	version int64
	usedAt  time.Duration
	demand  quota.Demand
	// fleetNumber is that of the fleet for which first, second and role hold.
	fleetNumber   int
	first, second string
	role          role
	// keeper is nil unless this front is the issuer or deputy.
	keeper *quota.Keeper
	// born is when the account became known, or what the keeper had lent was last forgotten.
	born int64
	// issuerSince is when this front became the issuer, if it is.
	issuerSince time.Duration
	// deputyHeard is when the deputy last took this front for the issuer.
	deputyHeard time.Duration
	// checkedAt is when the deputy was last to be checked.
	checkedAt time.Duration
	balance   balance
	// refunds are to be returned to the issuer, and ledger holds those of other fronts to this one.
	refunds   quota.RefundLog
	ledger    quota.RefundLedger
	share     *quota.Share
	shareUsed time.Duration
	// asking is true while a goroutine asks for the waiting requests.
	asking  bool
	waiting []*waiter
}

// dropKeeper forgets the tokens of this front's bucket.
func (a *account) dropKeeper(now time.Duration) {
	if a.keeper != nil {
		a.keeper, a.born = nil, bornAt(now)
	}
}

// bornAt returns the number of an account that becomes known at a time; it is above 0.
func bornAt(now time.Duration) int64 {
	return int64(now) + 1
}

// applyLimit applies the limit of a document unless it is older than the one in force.
func (a *account) applyLimit(limit quota.Limit, version int64) {
	if version < a.version || version == a.version && limit == a.limit {
		return
	}
	a.limit, a.version = limit, version
	if a.keeper != nil {
		a.keeper.SetLimit(limit)
	}
}

// maxPause is how long the process may stand still, frozen or without a processor, before it starts
// anew like a restarted one: until then its registration lasts, and only deputies lend in its place.
const maxPause = 2 * time.Second

// noteRunning forgets all tokens after a pause; the caller holds the lock.
func (l *Lender) noteRunning(now time.Duration) {
	if now > l.ranAt+maxPause {
		l.fleet.forget()
		for _, a := range l.accounts {
			a.dropKeeper(now)
			a.balance, a.role = balance{}, borrower
		}
	}
	l.ranAt = now
}

// account returns what is known of an account, refreshed; the caller holds the lock.
func (l *Lender) account(name string, now time.Duration) *account {
	l.noteRunning(now)
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, fleetNumber: -1, born: bornAt(now)}
		l.accounts[name] = a
	}
	l.refresh(a, now)
	l.beginChecks(a, now)
	a.usedAt = now
	return a
}

const (
	// checkedTime is how long after its last request an account's deputy is still checked.
	checkedTime = 3 * time.Second
	// unconfirmedTime is the time without word from the store from which the deputies of all accounts
	// are checked, so that a front that is cut off notices it before the others turn away from it.
	unconfirmedTime = quota.ConfirmTime / 2
)

// isChecked reports whether the account's deputy is to be checked; the caller holds the lock.
func (l *Lender) isChecked(a *account, now time.Duration) bool {
	return a.role == issuer && (now <= a.usedAt+checkedTime || l.view.ConfirmedAge() > unconfirmedTime)
}

// beginChecks lets a deputy count as heard that has not been checked until now.
func (*Lender) beginChecks(a *account, now time.Duration) {
	if now > a.checkedAt+quota.HearTime {
		a.deputyHeard = now
		a.checkedAt = now
	}
}

// refresh determines the account's issuer and deputy if the fronts have changed; the caller holds the lock.
func (l *Lender) refresh(a *account, now time.Duration) {
	l.fleet.update(l.view.State(), now)
	if a.fleetNumber == l.fleet.number {
		return
	}
	a.fleetNumber = l.fleet.number
	before := a.role
	a.first, a.second = pace.Issuers(a.name, l.fleet.names)
	switch l.self.Name {
	case a.first:
		a.role = issuer
	case a.second:
		a.role = deputy
	default:
		a.role = borrower
	}
	a.deputyHeard = now
	switch {
	case a.role == borrower:
		a.dropKeeper(now)
	case a.role == issuer && before != issuer:
		a.issuerSince = l.fleet.issuerSince(a.name, l.self.Name, now)
	}
}

// bucket returns the account's bucket at this front, advanced to now; the caller holds the lock.
func (l *Lender) bucket(a *account, now time.Duration) *quota.Bucket {
	if a.keeper == nil {
		a.keeper = quota.NewKeeper(l.bounds, a.limit)
	}
	return a.keeper.Open(now, l.standing(a, now), a.issuerSince, time.Now().UnixNano())
}

// standing returns this front's right to lend an account's tokens; the caller holds the lock.
func (l *Lender) standing(a *account, now time.Duration) quota.Standing {
	s := quota.Standing{IsDeputy: a.role != issuer, Confirmed: l.view.ConfirmedAge(), Fronts: l.fleet.size()}
	if a.second != "" {
		s.Heard = now - a.deputyHeard
	}
	return s
}

// lendOwn lends tokens of this front's bucket; the caller holds the lock.
func (l *Lender) lendOwn(a *account, now time.Duration, r peers.LendRequest) peers.LendReply {
	a.applyLimit(quota.Limit{PerSecond: r.PerSecond, Burst: r.Burst}, r.Version)
	ask := quota.Ask{Needs: r.Needs, Ahead: r.Ahead, Unit: r.Unit}
	if r.Run == l.self.Run {
		ask.Lease, ask.Unused = r.Lease, r.Unused
	}
	if r.Refunds != nil && r.Refunds.To == l.self.Run {
		ask.Refund = a.ledger.Credit(now, *r.Refunds)
	}
	l.returned.Add(ask.Unused + ask.Refund)
	g := l.bucket(a, now).Lend(ask)
	return peers.LendReply{IsDeputy: a.role == deputy, Waits: g.Waits, Ahead: g.Ahead, Run: l.self.Run, Lease: g.Lease}
}
