package lender

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
)

const (
	// sweepInterval is the time between two looks for unused tokens to return.
	sweepInterval = 100 * time.Millisecond
	// checkInterval is the time between two questions to the deputies of accounts in use.
	checkInterval = 600 * time.Millisecond
	// maxAccounts is the number of accounts from which unused ones are forgotten.
	maxAccounts = 256
	// forgetTime is how long an account must be unused for that.
	forgetTime = time.Minute
)

// Lend lends tokens to another front. A deputy passes the request on to the issuer and lends only
// if it does not answer, since then only the asking front may be cut off from it.
func (l *Lender) Lend(_ context.Context, r peers.LendRequest) peers.LendReply {
	l.mu.Lock()
	a := l.account(r.Account, l.now())
	first, role := a.first, a.role
	l.mu.Unlock()
	if role == borrower || role == deputy && r.Relayed {
		return peers.LendReply{Refused: true}
	}
	if role == deputy {
		relayed := r
		relayed.Relayed = true
		if reply, ok := l.ask(first, l.self.Name, issuerTimeout, &relayed); ok {
			return reply
		}
		r.Refund = relayed.Refund
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.refresh(a, now); a.role == borrower {
		return peers.LendReply{Refused: true}
	}
	reply := l.lendOwn(a, now, r)
	l.countLent(r, reply)
	return reply
}

// countLent counts what was lent to another front and what it has returned.
func (l *Lender) countLent(r peers.LendRequest, reply peers.LendReply) {
	lent := reply.Ahead
	for i, wait := range reply.Waits {
		if wait == 0 {
			lent += r.Needs[i]
		}
	}
	l.lent.Add(lent)
	l.returned.Add(r.Unused + r.Refund)
}

// ConfirmIssuer tells an issuer for which accounts this front takes it for the issuer, and what this
// front has lent in its place.
func (l *Lender) ConfirmIssuer(c peers.LendCheck) peers.LendCheckReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	reply := peers.LendCheckReply{Run: l.self.Run}
	for _, name := range c.Accounts {
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, fleetNumber: -1}
		}
		l.refresh(a, now)
		lent := 0.0
		if a.keeper != nil {
			lent = a.keeper.Lent()
		}
		reply.Confirmed, reply.Lent = append(reply.Confirmed, a.first == c.Issuer), append(reply.Lent, lent)
	}
	return reply
}

// Run returns unused tokens and forgets unused accounts until the context ends.
func (l *Lender) Run(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		for _, r := range l.takeReturns() {
			if ctx.Err() != nil {
				return
			}
			l.ask(r.to, "", issuerTimeout, &r.request)
		}
	}
}

// tokenReturn is what is returned to a front.
type tokenReturn struct {
	to      string
	request peers.LendRequest
}

// takeReturns takes the unused tokens of ended leases and the refunds of all accounts.
func (l *Lender) takeReturns() []tokenReturn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	// Also without requests, so that it is known since when this front is the issuer of an account.
	l.noteRunning(now)
	l.fleet.update(l.view.State(), now)
	var out []tokenReturn
	for name, a := range l.accounts {
		l.refresh(a, now)
		if a.keeper != nil && l.isChecked(a, now) {
			// Notices that this front is cut off, also without requests meanwhile.
			l.bucket(a, now)
		}
		switch {
		case a.asking:
		case a.role == issuer && a.refund > 0:
			l.bucket(a, now).Refund(a.refund)
			a.refund = 0
		case a.role != issuer && (a.refund > 0 || a.balance.tokens > 0 && now > a.balance.end):
			out = append(out, tokenReturn{to: a.first, request: l.request(a, nil)})
		case len(l.accounts) > maxAccounts && now > a.usedAt+forgetTime && (a.keeper == nil || a.keeper.IsIdle(now)):
			delete(l.accounts, name)
		}
	}
	return out
}

// RunChecks asks the deputies of this front's accounts in use whether they still take it for the
// issuer, until the context ends.
func (l *Lender) RunChecks(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		var checks conc.WaitGroup
		for deputy, accounts := range l.deputies() {
			if front, ok := l.view.State().Fronts[deputy]; ok {
				checks.Go(func() { l.checkDeputy(ctx, front, accounts) })
			}
		}
		checks.Wait()
	}
}

// deputies returns this front's accounts to check, by their deputies.
func (l *Lender) deputies() map[string][]*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := map[string][]*account{}
	for _, a := range l.accounts {
		if a.second != "" && l.isChecked(a, now) {
			l.beginChecks(a, now)
			a.checkedAt = now
			out[a.second] = append(out[a.second], a)
		}
	}
	return out
}

// checkDeputy asks a deputy about its accounts, and charges them what it has lent.
func (l *Lender) checkDeputy(ctx context.Context, front follow.Front, accounts []*account) {
	ctx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	asked := l.now()
	c := peers.LendCheck{Issuer: l.self.Name}
	for _, a := range accounts {
		c.Accounts = append(c.Accounts, a.name)
	}
	reply, err := l.caller.CheckDeputy(ctx, front, c)
	if err != nil || len(reply.Confirmed) != len(accounts) || len(reply.Lent) != len(accounts) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range accounts {
		if !reply.Confirmed[i] || a.role != issuer {
			continue
		}
		l.bucket(a, l.now())
		a.keeper.Settle(reply.Run, reply.Lent[i])
		a.deputyHeard = max(a.deputyHeard, asked)
	}
}
