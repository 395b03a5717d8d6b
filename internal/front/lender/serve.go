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
	// forgetTime is how long an account must be unused to be forgotten.
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
		if reply, err := l.ask(first, l.self.Name, issuerTimeout, relayed); err == nil {
			return reply
		}
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

// countLent counts what was lent to another front.
func (l *Lender) countLent(r peers.LendRequest, reply peers.LendReply) {
	lent := reply.Ahead
	for i, wait := range reply.Waits {
		if wait == 0 {
			lent += r.Needs[i]
		}
	}
	l.lent.Add(lent)
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
		reply.Confirmed, reply.Lent, reply.Born = append(reply.Confirmed, a.first == c.Issuer), append(reply.Lent, lent), append(reply.Born, a.born)
	}
	return reply
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
		born := int64(0)
		if i < len(reply.Born) {
			born = reply.Born[i]
		}
		a.keeper.Settle(reply.Run, born, reply.Lent[i])
		a.deputyHeard = max(a.deputyHeard, asked)
	}
}
