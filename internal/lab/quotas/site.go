package quotas

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/lender"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/internal/policy/quota"
)

const (
	registrationLease = 2 * time.Second
	// issuerTimeout bounds a remote question.
	issuerTimeout = 150 * time.Millisecond
	messageTime   = 2 * time.Millisecond
	window        = 8 * time.Second
	excess        = 0.1
)

// simFront is a front of a simulated site.
type simFront struct {
	site *simSite
	name string
	run  string
	l    *lender.Lender
	// cut is true while the front reaches neither the store nor other fronts; dead and frozen as named.
	cut, dead, frozen bool
	state             *follow.State
	confirmed         time.Time
	stop              context.CancelFunc
}

func (f *simFront) State() *follow.State {
	f.site.mu.Lock()
	defer f.site.mu.Unlock()
	return f.state
}

func (f *simFront) ConfirmedAge() time.Duration {
	f.site.mu.Lock()
	defer f.site.mu.Unlock()
	if f.reachesStore() {
		return 0
	}
	return time.Since(f.confirmed)
}

func (f *simFront) reachesStore() bool { return !f.cut && !f.dead && !f.frozen && !f.site.storeAway }

// target returns the lender of the front that a call reaches, nil if none.
func (f *simFront) target(ctx context.Context, to follow.Front) *lender.Lender {
	time.Sleep(messageTime)
	f.site.mu.Lock()
	x := f.site.fronts[to.Name]
	f.site.calls++
	lost := f.cut || f.frozen || x.cut || x.frozen
	gone, l := x.dead || x.run != to.Run, x.l
	f.site.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	if lost || gone || ctx.Err() != nil {
		return nil
	}
	return l
}

func (f *simFront) RequestTokens(ctx context.Context, to follow.Front, r peers.LendRequest) (peers.LendReply, error) {
	l := f.target(ctx, to)
	if l == nil {
		return peers.LendReply{}, errors.New("no answer")
	}
	reply := l.Lend(ctx, r)
	time.Sleep(messageTime)
	return reply, ctx.Err()
}

func (f *simFront) ReturnTokens(ctx context.Context, to follow.Front, r peers.LendReturns) (peers.LendReturnsReply, error) {
	l := f.target(ctx, to)
	if l == nil {
		return peers.LendReturnsReply{}, errors.New("no answer")
	}
	reply := l.AcceptReturns(r)
	time.Sleep(messageTime)
	return reply, ctx.Err()
}

func (f *simFront) CheckDeputy(ctx context.Context, to follow.Front, c peers.LendCheck) (peers.LendCheckReply, error) {
	l := f.target(ctx, to)
	if l == nil {
		return peers.LendCheckReply{}, errors.New("no answer")
	}
	return l.ConfirmIssuer(c), nil
}

// simSite is fronts, their registrations in a store and the requests of one account.
type simSite struct {
	mu         sync.Mutex
	fronts     map[string]*simFront
	names      []string
	registered map[string]follow.Front
	storeAway  bool
	calls      int
	runs       int
	account    *site.Account
	version    int64
	group      conc.WaitGroup
	ctx        context.Context
	// central answers for the way with one remote question a request, by front.
	central map[string]*quota.Bucket
	// fixed are the fixed shares.
	fixed  map[string]*quota.Bucket
	origin time.Time
}

func newSite(ctx context.Context, n int, q site.Quota) *simSite {
	s := &simSite{
		fronts: map[string]*simFront{}, registered: map[string]follow.Front{}, account: &site.Account{Name: "acct", Quota: q}, version: 1, ctx: ctx,
		central: map[string]*quota.Bucket{}, fixed: map[string]*quota.Bucket{}, origin: time.Now(),
	}
	s.locked(func() {
		for i := range n {
			name := fmt.Sprintf("front-%d", i)
			s.names = append(s.names, name)
			s.fronts[name] = &simFront{site: s, name: name}
			s.start(s.fronts[name])
		}
		s.publish()
	})
	return s
}

// start starts the process of a front, which registers at once.
func (s *simSite) start(f *simFront) {
	s.runs++
	f.run, f.dead, f.frozen, f.cut = fmt.Sprint(f.name, "/", s.runs), false, false, false
	front := follow.Front{Name: f.name, Run: f.run}
	f.state = &follow.State{Fronts: maps.Clone(s.registered)}
	f.l = lender.New(front, f, conf.QuotaBounds{Window: window, Excess: excess}, metrics.NewSet(), zap.NewNop().Sugar())
	f.l.SetCaller(f)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(s.ctx)
	l := f.l
	s.group.Go(func() { l.Run(ctx) })
	s.group.Go(func() { l.RunChecks(ctx) })
	s.registered[f.name] = front
	delete(s.central, f.name)
}

// publish gives all fronts that reach the store the registrations.
func (s *simSite) publish() {
	state := &follow.State{Fronts: maps.Clone(s.registered)}
	for _, f := range s.fronts {
		if f.reachesStore() {
			f.state = state
		}
	}
}

func (s *simSite) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// expire removes a front's registration if it still does not reach the store.
func (s *simSite) expire(f *simFront) {
	time.Sleep(registrationLease)
	s.locked(func() {
		if !f.reachesStore() && !s.storeAway {
			delete(s.registered, f.name)
			s.publish()
		}
	})
}

// back lets a front register again.
func (s *simSite) back(f *simFront) {
	s.locked(func() {
		f.cut, f.frozen, f.confirmed = false, false, time.Now()
		s.registered[f.name] = follow.Front{Name: f.name, Run: f.run}
		s.publish()
	})
}

func (s *simSite) issuer() *simFront { return s.fronts[pace.Issuer(s.account.Name, s.names)] }

// now is the time for the buckets of the other ways.
func (s *simSite) now() time.Duration { return time.Since(s.origin) }

// admit asks one way for one request at a front; false also if the front does not take it.
func (s *simSite) admit(way string, f *simFront, cost float64) bool {
	var account *site.Account
	var version int64
	var l *lender.Lender
	down := false
	s.locked(func() { account, version, l, down = s.account, s.version, f.l, f.dead || f.frozen })
	if down {
		return false
	}
	limit := quota.Limit{PerSecond: account.Quota.PerSecond, Burst: account.Quota.Burst}
	switch way {
	case wayLending:
		return l.Admit(s.ctx, lender.Charge{Account: account, Version: version, Cost: cost}).Admitted
	case wayFixed:
		n := float64(len(s.names))
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.take(s.fixed, f.name, quota.Limit{PerSecond: limit.PerSecond / n, Burst: limit.Burst / n}, cost)
	}
	to, ok := f.State().Fronts[pace.Issuer(account.Name, slices.Collect(maps.Keys(f.State().Fronts)))]
	if !ok {
		return false
	}
	if to.Name != f.name {
		ctx, cancel := context.WithTimeout(s.ctx, issuerTimeout)
		defer cancel()
		if f.target(ctx, to) == nil {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(s.central, to.Name, limit, cost)
}

// take takes a cost from a bucket of a map, a full one at first.
func (s *simSite) take(m map[string]*quota.Bucket, name string, limit quota.Limit, cost float64) bool {
	b := m[name]
	if b == nil {
		b = quota.NewBucket(limit, s.now()-time.Hour, s.now(), 1)
		m[name] = b
	}
	b.SetLimit(limit)
	b.Advance(s.now(), 1)
	_, ok := b.Take(cost)
	return ok
}
