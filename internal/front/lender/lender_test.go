package lender

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/internal/policy/quota"
)

// fixedView is a view that does not change.
type fixedView struct{ state *follow.State }

func (v fixedView) State() *follow.State      { return v.state }
func (fixedView) ConfirmedAge() time.Duration { return 0 }

// scriptedCaller answers with replies in turn, and then not at all.
type scriptedCaller struct {
	replies []peers.LendReply
	asked   []peers.LendRequest
}

func (s *scriptedCaller) RequestTokens(_ context.Context, _ follow.Front, r peers.LendRequest) (peers.LendReply, error) {
	s.asked = append(s.asked, r)
	if len(s.replies) == 0 {
		return peers.LendReply{}, errors.New("no answer")
	}
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply, nil
}

func (*scriptedCaller) CheckDeputy(context.Context, follow.Front, peers.LendCheck) (peers.LendCheckReply, error) {
	return peers.LendCheckReply{}, errors.New("no answer")
}

// newBorrower returns a lender of a front that is the account's issuer with role 0, its deputy with 2, and neither otherwise.
func newBorrower(c Caller, role int) (*Lender, Charge) {
	names := []string{"a", "b", "c"}
	first, second := pace.Issuers("acct", names)
	state := &follow.State{Fronts: map[string]follow.Front{}}
	self := ""
	for _, n := range names {
		state.Fronts[n] = follow.Front{Name: n, Run: n}
		if n != first && n != second {
			self = n
		}
	}
	switch role {
	case 0:
		self = first
	case 2:
		self = second
	}
	l := New(state.Fronts[self], fixedView{state}, conf.QuotaBounds{}, metrics.NewSet(), zap.NewNop().Sugar())
	l.SetCaller(c)
	return l, Charge{Account: &site.Account{Name: "acct", Quota: site.Quota{PerSecond: 1e9, Burst: 1e9}}, Version: 1, Cost: 1}
}

// TestBorrowedTokensAreUsedAndReturnedOnce guards against tokens that are used after their lease or
// returned twice, and against costs that are given back twice.
func TestBorrowedTokensAreUsedAndReturnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := &scriptedCaller{replies: []peers.LendReply{
			{Waits: []time.Duration{0}, Ahead: 3, Run: "x", Lease: 7}, {Waits: []time.Duration{time.Second}}, {}, {},
		}}
		l, charge := newBorrower(c, 1)
		g.Expect(l.Admit(charge)).To(Equal(Verdict{Admitted: true, Source: FromIssuer}))
		g.Expect(l.Admit(charge)).To(Equal(Verdict{Admitted: true, Source: FromBalance}))
		time.Sleep(quota.LeaseTime)
		l.Refund(charge)
		g.Expect(l.Admit(charge)).To(Equal(Verdict{Wait: time.Second, Source: FromIssuer}), "the lease has ended")
		g.Expect(c.asked).To(HaveLen(2))
		g.Expect(c.asked[1].Unused).To(Equal(2.0))
		g.Expect(c.asked[1].Lease).To(Equal(int64(7)))
		g.Expect(c.asked[1].Run).To(Equal("x"))
		g.Expect(c.asked[1].Refund).To(Equal(1.0))
		g.Expect(l.takeReturns()).To(BeEmpty())
	})
}

// TestRefundGoesToOneFront guards against costs that are given back at the deputy after an issuer may
// have taken them whose answer was lost.
func TestRefundGoesToOneFront(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := &scriptedCaller{}
		l, charge := newBorrower(c, 1)
		l.Refund(charge)
		l.Admit(charge)
		g.Expect(c.asked).To(HaveLen(2))
		g.Expect(c.asked[0].Refund).To(Equal(1.0))
		g.Expect(c.asked[1].Refund).To(BeZero())

		l, _ = newBorrower(c, 2)
		reply := l.Lend(t.Context(), peers.LendRequest{Account: "acct", PerSecond: 1, Burst: 100, Version: 1, Needs: []float64{20}, Refund: 50})
		g.Expect(reply.IsDeputy).To(BeTrue())
		g.Expect(reply.Waits).To(HaveExactElements(BeNumerically(">", 0)))
	})
}

// TestUnusedAccountsAreForgotten guards against an issuer that keeps all accounts that it has ever
// served, since the bucket of an account that is no longer used is not advanced.
func TestUnusedAccountsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		state := &follow.State{Fronts: map[string]follow.Front{"a": {Name: "a", Run: "a"}}}
		l := New(state.Fronts["a"], fixedView{state}, conf.QuotaBounds{}, metrics.NewSet(), zap.NewNop().Sugar())
		for i := range maxAccounts + 50 {
			l.Admit(Charge{Account: &site.Account{Name: fmt.Sprint("acct-", i), Quota: site.Quota{PerSecond: 1, Burst: 30}}, Version: 1, Cost: 30})
		}
		for range 2 * forgetTime / sweepInterval {
			time.Sleep(sweepInterval)
			l.takeReturns()
		}
		g.Expect(l.accounts).To(HaveLen(maxAccounts))
	})
}

// TestUnlimitedAccountsAskNobody guards against calls and waits for accounts without a limit.
func TestUnlimitedAccountsAskNobody(t *testing.T) {
	g := NewWithT(t)
	c := &scriptedCaller{}
	l, charge := newBorrower(c, 1)
	charge.Account.Quota.PerSecond = 0
	g.Expect(l.Admit(charge).Admitted).To(BeTrue())
	l, charge = newBorrower(c, 0)
	l.Admit(charge)
	g.Expect(c.asked).To(BeEmpty(), "an issuer asks nobody")
}

// BenchmarkAdmit measures a request's charge at the issuer, and at a front that has borrowed ahead.
func BenchmarkAdmit(b *testing.B) {
	b.Run("issuer", func(b *testing.B) {
		l, charge := newBorrower(nil, 0)
		b.ReportAllocs()
		for b.Loop() {
			l.Admit(charge)
		}
	})
	b.Run("balance", func(b *testing.B) {
		l, charge := newBorrower(nil, 1)
		l.mu.Lock()
		l.account("acct", l.now()).balance = balance{tokens: 1e12, end: time.Hour}
		l.mu.Unlock()
		b.ReportAllocs()
		for b.Loop() {
			l.Admit(charge)
		}
	})
}
