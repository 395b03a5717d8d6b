package lender

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/quota"
)

const (
	// issuerTimeout bounds a call to an account's issuer.
	issuerTimeout = 150 * time.Millisecond
	// deputyTimeout bounds a call to its deputy, which asks the issuer itself first.
	deputyTimeout = issuerTimeout + 100*time.Millisecond
	// silentTime is how long a front that did not answer is not called again.
	silentTime = time.Second
)

// Source tells which tokens a request was charged to or lacked.
type Source string

// The sources of tokens: this front's own bucket, tokens borrowed ahead, the issuer, the deputy,
// and this front's share of the limit while neither of them answers.
const (
	FromOwn     Source = "own"
	FromBalance Source = "balance"
	FromIssuer  Source = "issuer"
	FromDeputy  Source = "deputy"
	FromShare   Source = "share"
)

// Charge is the cost of a request to an account.
type Charge struct {
	Account *site.Account
	// Version is that of the document that holds the account.
	Version int64
	Cost    float64
}

// Verdict tells whether a request is within its account's quota, and else when it may come back.
type Verdict struct {
	Admitted bool
	Wait     time.Duration
	Source   Source
}

// Caller calls the lenders of other fronts.
type Caller interface {
	RequestTokens(ctx context.Context, to follow.Front, r peers.LendRequest) (peers.LendReply, error)
	ReturnTokens(ctx context.Context, to follow.Front, r peers.LendReturns) (peers.LendReturnsReply, error)
	CheckDeputy(ctx context.Context, to follow.Front, c peers.LendCheck) (peers.LendCheckReply, error)
}

// View is what a front knows of the others.
type View interface {
	State() *follow.State
	// ConfirmedAge is the time since the store has confirmed the state.
	ConfirmedAge() time.Duration
}

// Lender charges requests of this front to the quotas of accounts, and lends tokens of those
// accounts to other fronts whose issuer or deputy this front is.
type Lender struct {
	self     follow.Front
	view     View
	bounds   quota.Bounds
	caller   Caller
	origin   time.Time
	log      *zap.SugaredLogger
	lent     *metrics.FloatCounter
	returned *metrics.FloatCounter
	// asks runs the calls for requests that wait.
	asks tasks.Group

	mu sync.Mutex
	// ranAt is when the process was last seen to run.
	ranAt    time.Duration
	fleet    fleet
	accounts map[string]*account
	// silentUntil are the fronts that did not answer, by their runs.
	silentUntil map[string]time.Duration
}

// New returns a lender without tokens; call SetCaller before its first request.
func New(self follow.Front, v View, b conf.QuotaBounds, meters *metrics.Set, log *zap.SugaredLogger) *Lender {
	return &Lender{
		self: self, view: v, bounds: quota.Bounds{Window: b.Window, Excess: b.Excess}, origin: time.Now(), log: log, accounts: map[string]*account{}, silentUntil: map[string]time.Duration{},
		lent: meters.GetOrCreateFloatCounter("foxtailcroft_quota_tokens_lent_total"), returned: meters.GetOrCreateFloatCounter("foxtailcroft_quota_tokens_returned_total"),
	}
}

// SetCaller sets how other fronts are called.
func (l *Lender) SetCaller(c Caller) {
	l.caller = c
}

// now returns the time on the steady clock since the lender began.
func (l *Lender) now() time.Duration {
	return time.Since(l.origin)
}

// Admit charges a request to its account's quota. It may take as long as an issuer and a deputy
// may take to answer, or until the context of the request ends, which then is not admitted.
func (l *Lender) Admit(ctx context.Context, c Charge) Verdict {
	if !c.Account.Quota.IsLimited() || !(c.Cost > 0) {
		return Verdict{Admitted: true}
	}
	l.mu.Lock()
	now := l.now()
	a := l.account(c.Account.Name, now)
	a.applyLimit(quota.Limit{PerSecond: c.Account.Quota.PerSecond, Burst: c.Account.Quota.Burst}.SpreadOver(l.bounds.Window), c.Version)
	a.demand.Add(now, c.Cost)
	if a.role == issuer {
		wait, ok := l.bucket(a, now).Take(c.Cost)
		l.mu.Unlock()
		return Verdict{Admitted: ok, Wait: wait, Source: FromOwn}
	}
	if a.balance.take(now, c.Cost) {
		l.mu.Unlock()
		return Verdict{Admitted: true, Source: FromBalance}
	}
	w := &waiter{cost: c.Cost, verdict: make(chan Verdict, 1)}
	a.waiting = append(a.waiting, w)
	begins := !a.asking
	a.asking = true
	l.mu.Unlock()
	if begins && !l.asks.Go(func() { l.askForAll(a) }) {
		// The process stops.
		l.askForAll(a)
	}
	select {
	case v := <-w.verdict:
		return v
	case <-ctx.Done():
		return l.leave(a, w)
	}
}

// waiter is a request that waits for tokens from another front.
type waiter struct {
	cost    float64
	verdict chan Verdict
	// left is true once nobody waits for the verdict.
	left bool
}

// askForAll asks for the tokens that an account's requests wait for until none waits. It does not end
// with the request that began it, since the answer is for others as well.
func (l *Lender) askForAll(a *account) {
	l.mu.Lock()
	for len(a.waiting) > 0 {
		batch := a.waiting
		a.waiting = nil
		r := l.request(a, batch)
		l.mu.Unlock()
		reply, source := l.borrow(a, r)
		l.mu.Lock()
		for i, w := range batch {
			v := Verdict{Admitted: reply.Waits[i] == 0, Wait: reply.Waits[i], Source: source}
			switch {
			case !w.left:
				w.verdict <- v
			case v.Admitted:
				a.refunds.Add(w.cost)
			}
		}
	}
	a.asking = false
	l.mu.Unlock()
}

// leave ends the wait of a request whose context has ended.
func (l *Lender) leave(a *account, w *waiter) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case v := <-w.verdict:
		return v
	default:
	}
	w.left = true
	a.waiting = slices.DeleteFunc(a.waiting, func(x *waiter) bool { return x == w })
	return Verdict{}
}

// request returns the request for the tokens that waiters need, with all that is to be returned;
// the caller holds the lock.
func (l *Lender) request(a *account, batch []*waiter) peers.LendRequest {
	r := peers.LendRequest{
		Account: a.name, PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Version: a.version,
		Run: a.balance.run, Lease: a.balance.lease, Unused: a.balance.tokens,
	}
	// What is returned must not be used or returned again, even if the answer is lost.
	a.balance = balance{}
	if first, ok := l.view.State().Fronts[a.first]; ok && a.role != issuer {
		r.Refunds = a.refunds.Next(l.now(), l.self.Run, first.Run)
	}
	for _, w := range batch {
		r.Needs = append(r.Needs, w.cost)
	}
	if len(batch) > 0 {
		r.Ahead, r.Unit = a.demand.Ahead(l.now())
	}
	return r
}

// borrow asks the issuer, then the deputy, and takes the rest from this front's own share.
func (l *Lender) borrow(a *account, r peers.LendRequest) (peers.LendReply, Source) {
	l.mu.Lock()
	now := l.now()
	l.refresh(a, now)
	first, second, role := a.first, a.second, a.role
	if role == issuer {
		// This front has become the issuer meanwhile.
		reply := l.lendOwn(a, now, r)
		l.mu.Unlock()
		return reply, FromOwn
	}
	l.mu.Unlock()
	if reply, err := l.ask(first, second, issuerTimeout, r); err == nil {
		return l.keep(a, now, r.Refunds, reply)
	}
	// The issuer may have taken the refunds although its answer was lost.
	r.Refunds = nil
	if role == deputy {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lendOwn(a, l.now(), r), FromOwn
	}
	asked := l.now()
	if reply, err := l.ask(second, "", deputyTimeout, r); err == nil {
		return l.keep(a, asked, nil, reply)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return peers.LendReply{Waits: l.takeShares(a, r.Needs)}, FromShare
}

// keep stores what was borrowed ahead; its lease began when it was asked for. The reply confirms refunds.
func (l *Lender) keep(a *account, asked time.Duration, refunds *quota.RefundTotal, reply peers.LendReply) (peers.LendReply, Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.refunds.Confirm(refunds)
	if reply.Ahead > 0 {
		a.balance = balance{tokens: reply.Ahead, run: reply.Run, lease: reply.Lease, end: asked + quota.LeaseTime}
	}
	if reply.IsDeputy {
		return reply, FromDeputy
	}
	return reply, FromIssuer
}

var (
	errNotAsked = errors.New("the front is not known or did not answer lately")
	errRefused  = errors.New("the front does not keep the account's tokens")
)

// ask asks a front for tokens, unless it did not answer lately. The front next is the one that is
// asked after an error.
func (l *Lender) ask(name, next string, timeout time.Duration, r peers.LendRequest) (peers.LendReply, error) {
	front, ok := l.view.State().Fronts[name]
	if !ok || l.isSilent(front) {
		return peers.LendReply{}, errNotAsked
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := l.caller.RequestTokens(ctx, front, r)
	if err != nil {
		l.log.Infow("issuer silent", "Account", r.Account, "Front", name, "Next", next, "Error", err.Error())
		l.markSilent(front)
		return peers.LendReply{}, err
	}
	if reply.Refused || len(reply.Waits) != len(r.Needs) {
		return peers.LendReply{}, errRefused
	}
	return reply, nil
}

func (l *Lender) isSilent(f follow.Front) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now() < l.silentUntil[f.Run]
}

func (l *Lender) markSilent(f follow.Front) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for run, until := range l.silentUntil {
		if now > until {
			delete(l.silentUntil, run)
		}
	}
	l.silentUntil[f.Run] = now + silentTime
}

// takeShares takes costs from this front's own share of the limit; the caller holds the lock.
func (l *Lender) takeShares(a *account, needs []float64) []time.Duration {
	now := l.now()
	var waits []time.Duration
	for _, cost := range needs {
		if a.share == nil || now > a.shareUsed+shareMemory {
			a.share = quota.NewShare(l.bounds, now, cost, rand.Float64())
		}
		a.shareUsed = now
		wait, _ := a.share.Take(now, a.limit, l.fleet.size(), cost)
		waits = append(waits, wait)
	}
	return waits
}

// shareMemory is how long a front's own share is kept unused; after that all fronts may begin to
// use their shares at the same time.
const shareMemory = 10 * time.Second

// Refund gives back the cost of an admitted request that has not run.
func (l *Lender) Refund(c Charge) {
	if !c.Account.Quota.IsLimited() || !(c.Cost > 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a := l.account(c.Account.Name, now)
	if a.role == issuer {
		l.bucket(a, now).Refund(c.Cost)
		return
	}
	a.refunds.Add(c.Cost)
}
