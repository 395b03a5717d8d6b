package lender

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
)

// maxReturnsBytes bounds the tokens that one message returns; the rest of its bound is for the envelope.
const maxReturnsBytes = peer.MaxFrameBytes - 4<<10

// Run returns unused tokens and forgets unused accounts until the context ends.
func (l *Lender) Run(ctx context.Context) {
	var sending conc.WaitGroup
	defer sending.Wait()
	for sleep.For(ctx, sweepInterval) {
		// The next sweep does not wait for the answers, since returns must arrive soon after the leases' ends.
		for to, returns := range l.takeReturns() {
			for _, part := range splitReturns(returns, maxReturnsBytes) {
				sending.Go(func() { l.returnTokens(ctx, to, part) })
			}
		}
	}
	l.asks.Close()
}

// splitReturns splits returns into messages of a size.
func splitReturns(returns []peers.LendRequest, maxBytes int) [][]peers.LendRequest {
	var out [][]peers.LendRequest
	size, first := 0, 0
	for i, r := range returns {
		// Requests have only values that can be encoded.
		data, _ := json.Marshal(r)
		if size += len(data) + 1; size > maxBytes && i > first {
			out = append(out, returns[first:i])
			size, first = len(data)+1, i
		}
	}
	return append(out, returns[first:])
}

// returnTokens returns tokens to a front. Refunds that it does not confirm are sent again with a later sweep.
func (l *Lender) returnTokens(ctx context.Context, to follow.Front, returns []peers.LendRequest) {
	ctx, cancel := context.WithTimeout(ctx, issuerTimeout)
	defer cancel()
	reply, err := l.caller.ReturnTokens(ctx, to, peers.LendReturns{Returns: returns})
	if err != nil || len(reply.Refused) != len(returns) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range returns {
		if a := l.accounts[r.Account]; a != nil && !reply.Refused[i] {
			a.refunds.Confirm(r.Refunds)
		}
	}
}

// AcceptReturns takes back tokens of accounts whose issuer this front is.
func (l *Lender) AcceptReturns(r peers.LendReturns) peers.LendReturnsReply {
	reply := peers.LendReturnsReply{Refused: make([]bool, len(r.Returns))}
	for i, one := range r.Returns {
		reply.Refused[i] = !l.acceptReturn(one)
	}
	return reply
}

// acceptReturn takes back tokens of one account, so that requests wait for the lock only briefly.
func (l *Lender) acceptReturn(r peers.LendRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a := l.account(r.Account, now)
	if a.role != issuer {
		return false
	}
	l.lendOwn(a, now, r)
	return true
}

// takeReturns takes the unused tokens of ended leases and the refunds of all accounts, by the fronts
// that they are to be returned to. It forgets unused accounts.
func (l *Lender) takeReturns() map[follow.Front][]peers.LendRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	// Also without requests, so that it is known since when this front is the issuer of an account.
	l.noteRunning(now)
	l.fleet.update(l.view.State(), now)
	out := map[follow.Front][]peers.LendRequest{}
	for name, a := range l.accounts {
		l.refresh(a, now)
		if a.keeper != nil && l.isChecked(a, now) {
			// Notices that this front is cut off, also without requests meanwhile.
			l.bucket(a, now)
		}
		switch due := a.refunds.IsDue(now); {
		case a.asking:
		case a.role == issuer && due:
			l.bucket(a, now).Refund(a.refunds.TakeUnsent())
		case a.role != issuer && (due || a.balance.tokens > 0 && now > a.balance.end):
			if first, ok := l.view.State().Fronts[a.first]; ok {
				out[first] = append(out[first], l.request(a, nil))
			}
		case isUnused(a, now):
			delete(l.accounts, name)
		}
	}
	return out
}

// isUnused reports whether an account may be forgotten.
func isUnused(a *account, now time.Duration) bool {
	return now > a.usedAt+forgetTime && (a.keeper == nil || a.keeper.IsIdle(now))
}
