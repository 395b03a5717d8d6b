package lender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/link/peer"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/internal/policy/quota"
)

// fixedView is a view that does not change.
type fixedView struct{ state *follow.State }

func (v fixedView) State() *follow.State      { return v.state }
func (fixedView) ConfirmedAge() time.Duration { return 0 }

// scriptedCaller answers with replies in turn after a delay, and then not at all. Returns reach a
// lender, if there is one, after the same delay.
type scriptedCaller struct {
	replies  []peers.LendReply
	asked    []peers.LendRequest
	delay    time.Duration
	to       *Lender
	messages []peers.LendReturns
	// answersAt is when returns are first answered, and arrived when the last ones were.
	answersAt, arrived time.Time
	mu                 sync.Mutex
}

func (s *scriptedCaller) ReturnTokens(ctx context.Context, _ follow.Front, r peers.LendReturns) (peers.LendReturnsReply, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages, s.arrived = append(s.messages, r), time.Now()
	if s.to == nil || s.arrived.Before(s.answersAt) {
		return peers.LendReturnsReply{}, errors.New("no answer")
	}
	return s.to.AcceptReturns(r), ctx.Err()
}

func (s *scriptedCaller) RequestTokens(_ context.Context, _ follow.Front, r peers.LendRequest) (peers.LendReply, error) {
	s.asked = append(s.asked, r)
	time.Sleep(s.delay)
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
		g.Expect(l.Admit(context.Background(), charge)).To(Equal(Verdict{Admitted: true, Source: FromIssuer}))
		g.Expect(l.Admit(context.Background(), charge)).To(Equal(Verdict{Admitted: true, Source: FromBalance}))
		time.Sleep(quota.LeaseTime)
		l.Refund(charge)
		g.Expect(l.Admit(context.Background(), charge)).To(Equal(Verdict{Wait: time.Second, Source: FromIssuer}), "the lease has ended")
		g.Expect(c.asked).To(HaveLen(2))
		g.Expect(c.asked[1].Unused).To(Equal(2.0))
		g.Expect(c.asked[1].Lease).To(Equal(int64(7)))
		g.Expect(c.asked[1].Run).To(Equal("x"))
		g.Expect(c.asked[1].Refunds.Total).To(Equal(1.0))
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
		l.Admit(context.Background(), charge)
		g.Expect(c.asked).To(HaveLen(2))
		g.Expect(c.asked[0].Refunds.Total).To(Equal(1.0))
		g.Expect(c.asked[1].Refunds).To(BeNil())

		l, _ = newBorrower(c, 2)
		reply := l.Lend(t.Context(), peers.LendRequest{Account: "acct", PerSecond: 1, Burst: 100, Version: 1, Needs: []float64{20}, Refunds: &quota.RefundTotal{From: "b", To: "issuer", Series: 1, Total: 50}})
		g.Expect(reply.IsDeputy).To(BeTrue())
		g.Expect(reply.Waits).To(HaveExactElements(BeNumerically(">", 0)))
	})
}

// TestRefundsToASilentIssuerAreRepeated guards against refunds that are dropped, or count twice, because
// an answer of the issuer was lost, and against refunds that are repeated without end.
func TestRefundsToASilentIssuerAreRepeated(t *testing.T) {
	for _, c := range []struct {
		// answers take a delay, and there are none before answersAt.
		delay, answersAt time.Duration
		want             float64
	}{{0, 0, 1}, {2 * issuerTimeout, 0, 1}, {0, 3 * sweepInterval, 1}, {0, 2 * quota.RefundTime, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, caller := NewWithT(t), &scriptedCaller{delay: c.delay, answersAt: time.Now().Add(c.answersAt)}
				caller.to, _ = newBorrower(nil, 0)
				l, charge := newBorrower(caller, 1)
				l.Refund(charge)
				runFor(l, 3*quota.RefundTime)
				g.Expect(caller.to.returned.Get()).To(Equal(c.want))
				g.Expect(len(caller.messages)).To(BeNumerically("<=", 2+quota.RefundTime/sweepInterval))
			})
		})
	}
}

// runFor runs a lender for a time.
func runFor(l *Lender, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	l.Run(ctx)
}

// TestReturnsOfManyAccountsArriveInTime guards against returns that are sent one after the other, and so
// after the lender has given up their leases, and against messages over the bound.
func TestReturnsOfManyAccountsArriveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, began := NewWithT(t), time.Now()
		c := &scriptedCaller{delay: 20 * time.Millisecond}
		l, _ := newBorrower(c, 1)
		for i := range 10_000 {
			a := l.account(fmt.Sprintf("acct-%0100d", i), 0)
			a.role, a.balance = borrower, balance{tokens: 1, run: "x", lease: 1, end: quota.LeaseTime}
		}
		runFor(l, time.Second)
		returned := 0
		for _, m := range c.messages {
			data, _ := json.Marshal(m)
			g.Expect(len(data)).To(BeNumerically("<", peer.MaxFrameBytes-1024))
			returned += len(m.Returns)
		}
		g.Expect(returned).To(Equal(10_000))
		g.Expect(len(c.messages)).To(BeNumerically("<", 12))
		g.Expect(c.arrived.Sub(began)).To(BeNumerically("<", quota.RefundTime))
	})
}

// TestWaitEndsWithItsCaller guards against requests that wait for other fronts after their callers have
// left, and against costs that these requests have taken from others that wait with them.
func TestWaitEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, began := NewWithT(t), time.Now()
		c := &scriptedCaller{delay: 100 * time.Millisecond, replies: []peers.LendReply{{Waits: []time.Duration{0}}, {Waits: []time.Duration{0}}}}
		l, charge := newBorrower(c, 1)
		var other conc.WaitGroup
		other.Go(func() {
			time.Sleep(time.Millisecond)
			g.Expect(l.Admit(t.Context(), charge)).To(Equal(Verdict{Admitted: true, Source: FromIssuer}))
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		g.Expect(l.Admit(ctx, charge)).To(Equal(Verdict{}))
		g.Expect(time.Since(began)).To(Equal(10 * time.Millisecond))
		other.Wait()
		g.Expect(c.asked).To(HaveLen(2))
		g.Expect(c.asked[1].Refunds.Total).To(Equal(1.0), "the cost of the request that was left")
	})
}

// TestUnusedAccountsAreForgotten guards against fronts that keep all accounts that they have ever
// served, whatever they are for them.
func TestUnusedAccountsAreForgotten(t *testing.T) {
	for role, name := range []string{"issuer", "borrower", "deputy"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				l, charge := newBorrower(&scriptedCaller{}, role)
				charge.Account.Quota = site.Quota{PerSecond: 1, Burst: 30}
				l.Admit(t.Context(), charge)
				runFor(l, forgetTime-time.Second)
				g.Expect(l.accounts).To(HaveLen(1))
				runFor(l, 2*time.Second)
				g.Expect(l.accounts).To(BeEmpty())
			})
		})
	}
}

// TestUnlimitedAccountsAskNobody guards against calls and waits for accounts without a limit.
func TestUnlimitedAccountsAskNobody(t *testing.T) {
	g := NewWithT(t)
	c := &scriptedCaller{}
	l, charge := newBorrower(c, 1)
	charge.Account.Quota.PerSecond = 0
	g.Expect(l.Admit(context.Background(), charge).Admitted).To(BeTrue())
	l, charge = newBorrower(c, 0)
	l.Admit(context.Background(), charge)
	g.Expect(c.asked).To(BeEmpty(), "an issuer asks nobody")
}

// BenchmarkAdmit measures a request's charge at the issuer, and at a front that has borrowed ahead.
func BenchmarkAdmit(b *testing.B) {
	b.Run("issuer", func(b *testing.B) {
		l, charge := newBorrower(nil, 0)
		b.ReportAllocs()
		for b.Loop() {
			l.Admit(context.Background(), charge)
		}
	})
	b.Run("balance", func(b *testing.B) {
		l, charge := newBorrower(nil, 1)
		l.mu.Lock()
		l.account("acct", l.now()).balance = balance{tokens: 1e12, end: time.Hour}
		l.mu.Unlock()
		b.ReportAllocs()
		for b.Loop() {
			l.Admit(context.Background(), charge)
		}
	})
}

// BenchmarkAccountsInUse measures what 10,000 accounts in use hold at their issuer, and at one front of
// 2,100 those of them whose issuer or deputy it is.
func BenchmarkAccountsInUse(b *testing.B) {
	for _, fronts := range []int{1, 2100} {
		b.Run(fmt.Sprint(fronts, " fronts"), func(b *testing.B) {
			state := &follow.State{Fronts: map[string]follow.Front{}}
			for i := range fronts {
				name := fmt.Sprint("front-", i)
				state.Fronts[name] = follow.Front{Name: name, Run: name}
			}
			l := New(state.Fronts["front-0"], fixedView{state}, conf.QuotaBounds{}, metrics.NewSet(), zap.NewNop().Sugar())
			var before, after runtime.MemStats
			for b.Loop() {
				l.accounts = map[string]*account{}
				l.account("first", l.now())
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range 10_000 {
					name := fmt.Sprintf("account-%05d", i)
					if first, second := pace.Issuers(name, l.fleet.names); first == l.self.Name || second == l.self.Name {
						l.Lend(b.Context(), peers.LendRequest{Account: name, PerSecond: 20_000, Burst: 40_000, Version: 1, Needs: []float64{500}, Ahead: 1000, Unit: 500, Relayed: second == l.self.Name})
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(len(l.accounts)-1), "accounts")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
		})
	}
}
