package orders

import (
	"context"
	"errors"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/swap"
)

const (
	// pollAfter is the time between reports read while a load or unload is about to end.
	pollAfter = 60 * time.Millisecond
	// reportLag is how old a report may be.
	reportLag = 150 * time.Millisecond
	// overdue is how much longer than its forecast a load or unload is followed.
	overdue = 60 * time.Second
)

// carryOut unloads the evicted models and loads the wanted one.
func (p *Planner) carryOut(ctx context.Context, s *server, a swap.Action) {
	defer p.release(s)
	for _, model := range a.Evict {
		target := site.Adapter{Model: model}
		if !p.give(ctx, s, site.Order{Unload: true, Target: target}) {
			return
		}
		if !p.until(ctx, s, overdue, func() bool { return !s.busy && s.models[model] == nil }) {
			return
		}
	}
	if !p.give(ctx, s, site.Order{Target: site.Adapter{Model: a.Load}}) {
		return
	}
	began := time.Now()
	p.mu.Lock()
	s.readyAt = began.Add(a.Takes)
	beside := p.loading()
	p.mu.Unlock()
	if p.announced(ctx, s, a.Load, a.Takes) || p.until(ctx, s, overdue, func() bool { return s.models[a.Load] != nil }) {
		p.learn(s, a, beside, time.Since(began))
	}
}

// learn notes how long a load from the weight store took beside others.
func (p *Planner) learn(s *server, a swap.Action, beside int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := engineOf(p.state(), s.inst.Service)
	if a.Source != swap.FromStore || engine == nil || engine.Model(a.Load) == nil || s.models[a.Load] == nil {
		return
	}
	was := p.pace.AtOnce()
	p.pace = p.pace.Ended(max(beside, p.loading()), took, engine.Model(a.Load).FromStore)
	p.log.Infow("load from the store ended", "Instance", s.inst.ID, "Model", a.Load, "Took", took.String(), "Beside", beside, "AtOnceBefore", was, "AtOnce", p.pace.AtOnce())
}

// announced waits until the server announces the model, which it does as soon
// as it is loaded; false if that took longer than forecast.
func (p *Planner) announced(ctx context.Context, s *server, model string, takes time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, takes+reportLag)
	defer cancel()
	for {
		p.mu.Lock()
		next := s.changed
		ok, gone := s.models[model] != nil, p.servers[s.inst.Key] != s
		p.mu.Unlock()
		if ok || gone {
			return true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// release ends a server's engagement.
func (p *Planner) release(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.engaged, s.awaited, s.evicting = false, "", nil
	p.wake()
}

// until reads reports until a belief holds.
func (p *Planner) until(ctx context.Context, s *server, limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	wait := pollAfter
	for time.Now().Before(end) {
		p.readReport(ctx, s)
		p.mu.Lock()
		ok, gone := holds(), p.servers[s.inst.Key] != s
		p.mu.Unlock()
		if ok || gone {
			return ok && !gone
		}
		if !pause.For(ctx, wait) {
			return false
		}
		wait = min(2*wait, reportEvery)
	}
	return false
}

// give gives one order and updates the belief; it reports whether the order was accepted or held already.
func (p *Planner) give(ctx context.Context, s *server, o site.Order) bool {
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return false
	}
	fence, ok := p.lead.Fence(p.set.ChecksFence)
	p.mu.Lock()
	if !ok || fence != p.fence || fence == p.deposed || p.servers[s.inst.Key] != s || !s.admits(o, engineOf(p.state(), s.inst.Service)) {
		p.mu.Unlock()
		return false
	}
	o.Holder, o.Fence, o.Sequence = p.set.Node, fence, s.sequence
	in := s.inst
	p.mu.Unlock()
	p.orders.Inc()
	began := time.Now()
	outcome, err := p.wire.order(ctx, in, o)
	p.mu.Lock()
	var unsent *conns.Failure
	if errors.As(err, &unsent) && !unsent.Sent {
		p.markLost(s, err)
	} else {
		p.settle(s, o, outcome)
	}
	p.mu.Unlock()
	p.log.Infow("order", "Instance", in.ID, "Unload", o.Unload, "Model", o.Target.Model, "Adapter", o.Target.Name, "Sequence", o.Sequence,
		"Fence", fence, "Outcome", string(outcome), "Took", time.Since(began).String(), "Error", text(err))
	if outcome == site.Conflict {
		pause.For(ctx, reportLag)
		p.readReport(ctx, s)
	}
	return outcome == site.Accepted || outcome == site.Holds
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// settle updates the belief by an order's outcome; the caller holds the lock.
func (p *Planner) settle(s *server, o site.Order, outcome site.Outcome) {
	now := time.Now()
	switch outcome {
	case site.Accepted, site.Holds:
		if outcome == site.Accepted || o.Unload {
			s.sequence = o.Sequence + 1
		}
		s.adopt(o, outcome == site.Holds, now)
	case site.Conflict:
		s.resync = true
	case site.Fenced:
		p.deposed = o.Fence
		p.log.Warnw("deposed: a server has seen a higher fencing number", "Fence", o.Fence, "Instance", s.inst.ID)
	case site.Moved:
		p.markLost(s, errMoved)
	case site.Invalid:
		s.restsUntil = now.Add(refusedRest)
	case site.Unknown:
		// Accepted or not, or accepted later: a report will tell, and the number of orders keeps a late one out.
		s.uncertain = true
	}
	p.wake()
}

// errMoved is why a server counts as lost when another answers at its address.
var errMoved = errors.New("another instance answers at its address")

// refusedRest is the pause before the next order to a server that called one invalid.
const refusedRest = time.Second

// adopt notes what an accepted order changes at once; held is true if the order was complete with its answer.
func (s *server) adopt(o site.Order, held bool, now time.Time) {
	switch {
	case o.Unload && o.Target.Name != "" && held:
		delete(s.adapters, o.Target)
	case o.Unload && o.Target.Name != "":
		// Requests still use it, and it keeps its place until they end.
		if h := s.adapters[o.Target]; h != nil {
			h.leaving = true
		}
	case o.Unload:
		if h := s.models[o.Target.Model]; h != nil {
			h.leaving = true
		}
		for a := range s.adapters {
			if a.Model == o.Target.Model {
				delete(s.adapters, a)
			}
		}
		s.busy = true
	case o.Target.Name != "":
		s.adapters[o.Target] = keptOr(s.adapters[o.Target], now)
	default:
		s.busy = true
	}
}

// loadAdapter makes room if there is a victim, and loads an adapter.
func (p *Planner) loadAdapter(ctx context.Context, s *server, t, victim site.Adapter) {
	if p.makeRoom(ctx, s, victim) && p.give(ctx, s, site.Order{Target: t}) {
		pause.For(ctx, adapterTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.placing, t)
	p.wake()
}

// makeRoom unloads a victim, if there is one, and waits until its place is free.
func (p *Planner) makeRoom(ctx context.Context, s *server, victim site.Adapter) bool {
	if victim.Name == "" {
		return true
	}
	ordered := p.give(ctx, s, site.Order{Unload: true, Target: victim})
	p.mu.Lock()
	h := s.adapters[victim]
	if h != nil && !ordered {
		h.leaving = false
	}
	p.mu.Unlock()
	return ordered && (h == nil || p.until(ctx, s, vacating, func() bool { return s.adapters[victim] == nil }))
}

// vacating bounds the wait for an adapter that requests still use.
const vacating = 5 * time.Second
