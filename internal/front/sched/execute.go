package sched

import (
	"context"
	"errors"
	"maps"
	"time"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/swap"
)

const (
	// initialPollInterval is the first interval between report reads that wait for
	// a load or unload to end; it doubles up to reportInterval.
	initialPollInterval = 60 * time.Millisecond
	// maxReportLag bounds how far a server's report lags behind its state.
	maxReportLag = 150 * time.Millisecond
	// maxOverrun is how long the planner polls for the end of an unload, or of a load
	// past its forecast, before it gives up.
	maxOverrun = 60 * time.Second
)

// executeSwap unloads the models to evict, one after the other, then loads the
// requested one.
func (p *Planner) executeSwap(ctx context.Context, s *server, a swap.Action) {
	defer p.releaseServer(s)
	unloaded := ""
	for _, o := range swapOrders(a) {
		if !p.sendAfterUnload(ctx, s, unloaded, o) {
			return
		}
		unloaded = o.Target.Model
	}
	began := time.Now()
	p.mu.Lock()
	if s.models[a.Load] != nil {
		// The server held the model already.
		p.mu.Unlock()
		return
	}
	s.readyAt = began.Add(a.ReadyIn)
	concurrent, sequence := p.activeStoreLoads(), s.sequence
	p.mu.Unlock()
	// A lower sequence number shows that the server has not accepted the load.
	if p.awaitAnnouncement(ctx, s, a.Load, a.ReadyIn) || p.pollUntil(ctx, s, maxOverrun, func() bool { return s.models[a.Load] != nil || s.sequence < sequence }) {
		p.recordStoreLoad(s, a, concurrent, time.Since(began))
	}
}

// swapOrders returns the orders of a swap: the unloads, then the load.
func swapOrders(a swap.Action) []site.Order {
	var out []site.Order
	for _, model := range a.Evict {
		out = append(out, site.Order{Unload: true, Target: site.Target{Model: model}})
	}
	return append(out, site.Order{Target: site.Target{Model: a.Load}})
}

// sendAfterUnload sends an order to a server that is unloading a model, as soon as the
// unload has ended; an empty name stands for no unload. It reports whether the server
// accepted the order. A server carries out one order at a time and rejects others
// meanwhile, so repeating the order finds the end of the unload sooner than the server's
// report, which lags, and can't overfill the server.
func (p *Planner) sendAfterUnload(ctx context.Context, s *server, unloaded string, o site.Order) bool {
	if unloaded == "" {
		return p.sendOrder(ctx, s, o)
	}
	deadline, wait := time.Now().Add(maxOverrun), minOrderRetryInterval
	for tries := 1; time.Now().Before(deadline); tries++ {
		if !sleep.For(ctx, wait) {
			return false
		}
		wait = min(2*wait, maxOrderRetryInterval)
		outcome := p.dispatch(ctx, s, o, func(e *site.Engine) bool { return s.allowsAfterUnload(unloaded, o, e) })
		switch {
		case outcome == site.Accepted, outcome == site.AlreadyDone:
			return true
		case outcome != site.Conflict:
			return false
		case tries%conflictsPerReport == 0:
			// The sequence number may be wrong instead.
			p.log.Infow("order still waits for an unload", "Instance", s.inst.ID, "Unloaded", unloaded, "Model", o.Target.Model, "Tries", tries)
			p.readReport(ctx, s)
		}
	}
	return false
}

const (
	// minOrderRetryInterval is the first interval between attempts of an order that
	// waits for an unload; it doubles up to maxOrderRetryInterval.
	minOrderRetryInterval = 10 * time.Millisecond
	maxOrderRetryInterval = 160 * time.Millisecond
	// conflictsPerReport is the number of rejected attempts after which the report is read.
	conflictsPerReport = 8
)

// recordStoreLoad updates the estimate of how many weight store loads run at full
// speed concurrently, from the duration of one that ran next to others.
func (p *Planner) recordStoreLoad(s *server, a swap.Action, concurrent int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := engineOf(p.state(), s.inst.Service)
	if a.Source != swap.FromStore || engine == nil || engine.Model(a.Load) == nil || s.models[a.Load] == nil {
		return
	}
	concurrencyBefore := p.storeConcurrency.Limit()
	p.storeConcurrency = p.storeConcurrency.Observe(max(concurrent, p.activeStoreLoads()), took, engine.Model(a.Load).StoreLoadTime)
	p.log.Infow("load from the store ended", "Instance", s.inst.ID, "Model", a.Load, "Took", took.String(), "Beside", concurrent, "AtOnceBefore", concurrencyBefore, "AtOnce", p.storeConcurrency.Limit())
}

// awaitAnnouncement waits until the server announces the model, which it does as
// soon as the model is loaded. It returns false if that takes longer than expected
// or the context ends, and true if the server is gone.
func (p *Planner) awaitAnnouncement(ctx context.Context, s *server, model string, expected time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, expected+maxReportLag)
	defer cancel()
	for {
		p.mu.Lock()
		next := s.changed
		ok, gone := s.models[model] != nil, p.servers[s.inst.InstanceKey] != s
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

// releaseServer ends the reservation of a server, so that new orders may go to it.
func (p *Planner) releaseServer(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.reserved, s.loadingModel, s.evicting = false, "", nil
	p.wake()
}

// pollUntil reads the server's reports with backoff until done returns true. It
// returns false on timeout, when the context ends or when the server is gone.
// done is called with p.mu held.
func (p *Planner) pollUntil(ctx context.Context, s *server, timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	wait := initialPollInterval
	for time.Now().Before(deadline) {
		p.readReport(ctx, s)
		p.mu.Lock()
		ok, gone := done(), p.servers[s.inst.InstanceKey] != s
		p.mu.Unlock()
		if ok || gone {
			return ok && !gone
		}
		if !sleep.For(ctx, wait) {
			return false
		}
		wait = min(2*wait, reportInterval)
	}
	return false
}

// sendOrder sends one order, if it is still allowed, and applies its outcome. It
// reports whether the server accepted the order or was already in the desired state.
func (p *Planner) sendOrder(ctx context.Context, s *server, o site.Order) bool {
	outcome := p.dispatch(ctx, s, o, func(e *site.Engine) bool { return s.allowsOrder(o, e) })
	if outcome == site.Conflict {
		p.mu.Lock()
		s.resync = true
		p.log.Infow("order rejected: the server carries out another one or has another sequence number", "Instance", s.inst.ID, "Unload", o.Unload,
			"Model", o.Target.Model, "Adapter", o.Target.Name, "Sequence", s.sequence, "Fence", p.fence)
		p.mu.Unlock()
		sleep.For(ctx, maxReportLag)
		p.readReport(ctx, s)
	}
	return outcome == site.Accepted || outcome == site.AlreadyDone
}

// dispatch sends one order, if this front may give orders and allowed still holds, and
// applies its outcome, but for site.Conflict. It returns site.Unknown if the order was
// not sent. allowed is called with p.mu held.
func (p *Planner) dispatch(ctx context.Context, s *server, o site.Order, allowed func(*site.Engine) bool) site.OrderOutcome {
	select {
	case s.orderSlot <- struct{}{}:
		defer func() { <-s.orderSlot }()
	case <-ctx.Done():
		return site.Unknown
	}
	fence, ok := p.candidate.FencingToken(p.settings.ChecksFence)
	p.mu.Lock()
	if !ok || fence != p.fence || fence == p.deposedFence || !p.handoverEndedAt(time.Now()) || p.servers[s.inst.InstanceKey] != s || !allowed(engineOf(p.state(), s.inst.Service)) {
		p.mu.Unlock()
		return site.Unknown
	}
	o.Holder, o.Fence, o.Sequence = p.settings.Node, fence, s.sequence
	in := s.inst
	s.inFlight = &o
	p.mu.Unlock()
	p.ordersTotal.Inc()
	began := time.Now()
	outcome, err := p.client.order(ctx, in, o)
	p.mu.Lock()
	s.inFlight = nil
	var failure *conns.Failure
	unsent := errors.As(err, &failure) && !failure.Sent
	switch {
	case !unsent:
		p.applyOutcome(s, o, outcome)
	case ctx.Err() == nil:
		p.markLost(s, err)
	}
	p.mu.Unlock()
	// Callers log conflicts, which are routine while a server unloads a model.
	if outcome != site.Conflict {
		p.log.Infow("order", "Instance", in.ID, "Unload", o.Unload, "Model", o.Target.Model, "Adapter", o.Target.Name, "Sequence", o.Sequence,
			"Fence", fence, "Outcome", string(outcome), "Took", time.Since(began).String(), "Error", errorText(err))
	}
	return outcome
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// applyOutcome updates the planner's view of the server after an order. The caller
// must hold p.mu.
func (p *Planner) applyOutcome(s *server, o site.Order, outcome site.OrderOutcome) {
	now := time.Now()
	switch outcome {
	case site.Accepted, site.AlreadyDone, site.Unknown:
		s.applyAnswer(o, outcome, now)
	case site.Fenced:
		p.deposedFence = o.Fence
		p.log.Warnw("deposed: a server has seen a higher fencing token; sending no more orders under this one", "Fence", o.Fence, "Instance", s.inst.ID)
	case site.OtherInstance:
		p.markLost(s, errReplaced)
	case site.Invalid:
		s.pausedUntil = now.Add(invalidOrderPause)
	}
	p.wake()
}

// applyAnswer updates the view of a server after an order that it has accepted, that already held, or
// whose answer was lost.
func (s *server) applyAnswer(o site.Order, outcome site.OrderOutcome, now time.Time) {
	switch outcome {
	case site.Accepted:
		s.sequence, s.sequenceAt = o.Sequence+1, now
		s.recordSent(o, true, now)
		s.applyOrder(o, false, now)
	case site.AlreadyDone:
		// Of the orders that are answered like this a server counts the unload of an idle adapter only,
		// and only if it held the adapter.
		if h := s.adapters[o.Target]; o.Unload && h != nil && h.unlistedSince.IsZero() {
			s.sequence, s.sequenceAt = o.Sequence+1, now
		}
		s.applyOrder(o, true, now)
	default:
		// The server may have accepted the order or may still do so. The next report
		// shows which; the sequence number makes the server reject a delayed order.
		s.outcomeUnknown = true
		s.recordSent(o, false, now)
	}
}

// errReplaced marks a server as lost because another instance answers at its address.
var errReplaced = errors.New("another instance answers at its address")

// invalidOrderPause is how long no order is sent to a server that rejected one as invalid.
const invalidOrderPause = time.Second

// applyOrder applies the immediate effects of an accepted order. complete is true
// if the server was already in the desired state.
func (s *server) applyOrder(o site.Order, complete bool, now time.Time) {
	switch {
	case o.Unload && o.Target.Name != "" && complete:
		delete(s.adapters, o.Target)
	case o.Unload && o.Target.Name != "":
		// Requests may still use the adapter; it occupies its place until they end.
		if h := s.adapters[o.Target]; h != nil {
			h.unloading = true
		}
	case o.Unload && complete:
		delete(s.models, o.Target.Model)
		s.dropAdapters(o.Target.Model)
	case o.Unload:
		s.dropUnloaded()
		if h := s.models[o.Target.Model]; h != nil {
			h.unloading = true
		}
		s.dropAdapters(o.Target.Model)
		s.busy = true
	case o.Target.Name != "":
		s.adapters[o.Target] = existingOrNew(s.adapters[o.Target], now)
	case complete:
		s.models[o.Target.Model] = existingOrNew(s.models[o.Target.Model], now)
		s.models[o.Target.Model].markListed(now)
	default:
		s.busy = true
		s.dropUnloaded()
	}
}

// dropAdapters removes the adapters of a model.
func (s *server) dropAdapters(model string) {
	maps.DeleteFunc(s.adapters, func(a site.Target, _ *loadedItem) bool { return a.Model == model })
}

// dropUnloaded removes the models whose unload was ordered, with adapters that a lagging
// report has listed again: a server that accepts another order for a model has completed them.
func (s *server) dropUnloaded() {
	maps.DeleteFunc(s.models, func(_ string, m *loadedItem) bool { return m.unloading })
	maps.DeleteFunc(s.adapters, func(a site.Target, _ *loadedItem) bool { return s.models[a.Model] == nil })
}

// loadAdapter evicts the victim, if there is one, and loads an adapter.
func (p *Planner) loadAdapter(ctx context.Context, s *server, t, victim site.Target) {
	if p.evictAdapter(ctx, s, victim) && p.sendOrder(ctx, s, site.Order{Target: t}) {
		sleep.For(ctx, adapterLoadTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.adaptersLoading, t)
	if s.adapterAhead == t {
		s.adapterAhead = site.Target{}
	}
	p.wake()
}

// evictAdapter unloads a victim, if there is one, and waits until its place is
// free. It reports whether the place is free.
func (p *Planner) evictAdapter(ctx context.Context, s *server, victim site.Target) bool {
	if victim.Name == "" {
		return true
	}
	ordered := p.sendOrder(ctx, s, site.Order{Unload: true, Target: victim})
	p.mu.Lock()
	h := s.adapters[victim]
	if h != nil && !ordered {
		h.unloading = false
	}
	p.mu.Unlock()
	return ordered && (h == nil || p.pollUntil(ctx, s, adapterDrainTimeout, func() bool { return s.adapters[victim] == nil }))
}

// adapterDrainTimeout bounds the wait for the unload of an adapter that requests still use.
const adapterDrainTimeout = 5 * time.Second
