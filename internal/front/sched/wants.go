package sched

import (
	"context"
	"math"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/policy/fair"
	"foxtailcroft/internal/policy/swap"
)

// wantedTarget is a model or adapter that requests wait for or recently asked for.
type wantedTarget struct {
	service string
	// waiters are the waiting requests.
	waiters map[*waiter]bool
	// firstRequested is when the first request asked for the target.
	firstRequested time.Time
	// expiresAt keeps the want alive after a refusal, so that the model is loaded
	// when the caller retries.
	expiresAt time.Time
}

// waiter is a waiting request. Its channel is closed without an answer when this
// front stops being the planner.
type waiter struct {
	request peers.InstanceRequest
	// deadline is until when the request can wait and still be served in time.
	deadline time.Time
	answer   chan peers.InstanceReply
}

// weight returns the weight of the waiting requests, in which those of one client account
// count less the more of them there are. urgency returns that of one request.
func (w *wantedTarget) weight(urgency func(*waiter) float64) float64 {
	byAccount := map[string][]float64{}
	for waiting := range w.waiters {
		account := waiting.request.Account
		byAccount[account] = append(byAccount[account], urgency(waiting))
	}
	return fair.Weight(byAccount)
}

// swapWants returns the wants of targets of one service as input for the swap policy. While the
// service is scarce, their requests count by deadline and priority. The caller must hold p.mu.
func (p *Planner) swapWants(in swap.Input, service string, targets []site.Target, now time.Time) []swap.Want {
	var soonest map[string]time.Duration
	mostUrgent, scarce := math.MaxInt, p.isScarce(service, now)
	if scarce {
		for _, t := range targets {
			in.Wants = append(in.Wants, swap.Want{Model: t.Model})
			for x := range p.wants[t].waiters {
				mostUrgent = min(mostUrgent, x.request.Priority)
			}
		}
		soonest = swap.SoonestLoads(in)
	}
	var wants []swap.Want
	for _, t := range targets {
		w := p.wants[t]
		weight := w.weight(func(x *waiter) float64 {
			if !scarce {
				return 1
			}
			return fair.Urgency(x.request.Priority, mostUrgent, x.deadline.Sub(now), soonest[t.Model])
		})
		wants = append(wants, swap.Want{Model: t.Model, Weight: max(refusedWantWeight, weight), Waited: now.Sub(w.firstRequested)})
	}
	return mergeWants(wants)
}

// refusedWantTTL is how long a want lives on after the wait time of its last request.
const refusedWantTTL = 3 * time.Second

// RequestInstances waits, for the shorter of req.Wait and req.Answer, until an instance can
// serve the target. If none can, it returns the reason and, if known, when one will. It
// returns a NoPlannerError if this front isn't the planner.
func (p *Planner) RequestInstances(ctx context.Context, req peers.InstanceRequest) (peers.InstanceReply, error) {
	if !p.checkLeadership() {
		return peers.InstanceReply{}, &peers.NoPlannerError{}
	}
	deadline := time.NewTimer(min(req.Wait, req.Answer))
	defer deadline.Stop()
	waiting, found, wait := p.register(req)
	if !wait {
		return found, nil
	}
	defer p.removeWaiter(waiting)
	select {
	case found, ok := <-waiting.answer:
		if !ok {
			return peers.InstanceReply{}, &peers.NoPlannerError{}
		}
		return found, nil
	case <-deadline.C:
		found.Waiting = req.Answer < req.Wait
		found.Reason = "not ready in time"
		return found, nil
	case <-ctx.Done():
		return peers.InstanceReply{}, ctx.Err()
	}
}

// register answers a request at once if possible, and otherwise adds it to the
// waiters of its target.
func (p *Planner) register(req peers.InstanceRequest) (waiting *waiter, found peers.InstanceReply, wait bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	wanted := p.wants[req.Target]
	if wanted == nil {
		wanted = &wantedTarget{service: req.Service, firstRequested: now, waiters: map[*waiter]bool{}}
		p.wants[req.Target] = wanted
	}
	wanted.expiresAt = now.Add(req.Wait + refusedWantTTL)
	p.recheckReports(req.Avoid)
	p.wake()
	found, wait = p.findInstances(req)
	if !wait {
		p.deleteServedWant(req.Target, found)
		return nil, found, false
	}
	waiting = &waiter{request: req, deadline: now.Add(req.Wait), answer: make(chan peers.InstanceReply, 1)}
	wanted.waiters[waiting] = true
	return waiting, found, true
}

// removeWaiter removes a request from the waiters of its target.
func (p *Planner) removeWaiter(waiting *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wanted := p.wants[waiting.request.Target]; wanted != nil {
		delete(wanted.waiters, waiting)
	}
}

// deleteServedWant deletes the want for a target that an instance serves, unless
// requests still wait that can't use that instance. The caller must hold p.mu.
func (p *Planner) deleteServedWant(t site.Target, found peers.InstanceReply) {
	if wanted := p.wants[t]; wanted != nil && len(found.Instances) > 0 && len(wanted.waiters) == 0 {
		delete(p.wants, t)
	}
}

// answerWaiters answers the waiters that can be served or must be refused. It runs
// once a planning step, however many changes there were, so that the cost doesn't
// grow with the number of changes times the number of waiters.
func (p *Planner) answerWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, wanted := range p.wants {
		for waiting := range wanted.waiters {
			found, wait := p.findInstances(waiting.request)
			if wait {
				continue
			}
			delete(wanted.waiters, waiting)
			waiting.answer <- found
			p.deleteServedWant(t, found)
		}
	}
}

// rejectWaiters fails all waiters because this front isn't the planner.
func (p *Planner) rejectWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wanted := range p.wants {
		for waiting := range wanted.waiters {
			close(waiting.answer)
		}
	}
	clear(p.wants)
}

// minRecheckInterval is the least time between two report reads of a server that
// fronts can't use.
const minRecheckInterval = 200 * time.Millisecond

// recheckReports starts reading the reports of servers that a front couldn't use. The
// caller must hold p.mu.
func (p *Planner) recheckReports(keys []site.InstanceKey) {
	for _, k := range keys {
		s := p.servers[k]
		if s == nil || time.Since(s.reportRequestedAt) < minRecheckInterval {
			continue
		}
		s.reportRequestedAt = time.Now()
		p.group.Go(func() { p.readReport(context.Background(), s) })
	}
}

// findInstances returns the instances that serve the target. If there are none, it
// returns whether the request should wait for one, or why not. The caller must hold
// p.mu.
func (p *Planner) findInstances(req peers.InstanceRequest) (found peers.InstanceReply, wait bool) {
	for _, s := range p.servers {
		if s.inst.Service == req.Service && (req.Version == "" || s.inst.Version == req.Version) && s.serves(req.Target) && !slices.Contains(req.Avoid, s.inst.InstanceKey) {
			found.Instances = append(found.Instances, s.inst.InstanceKey)
			s.markUsed(req.Target, time.Now())
		}
	}
	if len(found.Instances) > 0 {
		return found, false
	}
	engine := engineOf(p.state(), req.Service)
	if engine == nil || engine.Model(req.Target.Model) == nil {
		found.Reason = "the service has no such model"
		return found, false
	}
	if req.Version != "" && !p.versionHasModel(req) {
		if p.isLoadableAtVersion(req) {
			return found, true
		}
		found.Reason = "no server of the version has the model in time"
		return found, false
	}
	if ready, ok := p.forecastReady(req); ok {
		found.ReadyIn = time.Until(ready)
		if found.ReadyIn > req.Wait {
			found.Reason = "the load ends too late"
			return found, false
		}
		return found, true
	}
	if model := engine.Model(req.Target.Model); p.noServerPlanned(req.Target) && model.StoreLoadTime > req.Wait {
		found.ReadyIn = model.StoreLoadTime
		found.Reason = "no server can load the model in time"
		return found, false
	}
	return found, true
}

// planningTimeout is how long after the first request for a target a server should be
// preparing for it.
const planningTimeout = 400 * time.Millisecond

// noServerPlanned reports whether a target has been wanted for longer than
// planningTimeout although no server has its model. The caller has checked that none
// is loading it.
func (p *Planner) noServerPlanned(t site.Target) bool {
	wanted := p.wants[t]
	decidedBy := time.Now().Add(-planningTimeout)
	return wanted != nil && wanted.firstRequested.Before(decidedBy) && p.handoverEndedAt(decidedBy) && p.evictionAllowed(decidedBy) && len(p.serversWithModel(wanted.service, t.Model)) == 0
}

// forecastReady returns when a server that loads the model of a request, or will load it once it is
// available, is expected to be ready; false if there is none. The caller must hold p.mu.
func (p *Planner) forecastReady(req peers.InstanceRequest) (time.Time, bool) {
	for _, s := range p.servers {
		if s.loadingModel == req.Target.Model && (req.Version == "" || s.inst.Version == req.Version) {
			return s.readyAt, true
		}
	}
	ready, ok := p.expectedReady[req.Target.Model]
	return ready, ok && req.Version == ""
}

// serversWithModel returns the servers of a service that serve a model.
func (p *Planner) serversWithModel(service, model string) []*server {
	var out []*server
	for _, s := range p.servers {
		if s.inst.Service == service && s.serves(site.Target{Model: model}) {
			out = append(out, s)
		}
	}
	return out
}
