package orders

import (
	"context"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

// wanted is a target that requests wait for, or asked for lately.
type wanted struct {
	service string
	// waiters are the requests that wait.
	waiters map[*waiter]bool
	// since is when the first of them asked.
	since time.Time
	// until keeps a want alive after a refusal, so that the load is done when the caller returns.
	until time.Time
}

// waiter is a request that waits; its channel is closed without an answer if this front does not plan any more.
type waiter struct {
	want   peers.Want
	answer chan peers.Found
}

// lingering is how long a refused want keeps its model on order.
const lingering = 3 * time.Second

// Want waits until an instance can serve the target, or says when one will.
func (p *Planner) Want(ctx context.Context, w peers.Want) (peers.Found, error) {
	if !p.leads() {
		return peers.Found{}, &peers.NoPlanner{}
	}
	deadline := time.NewTimer(min(w.Wait, w.Answer))
	defer deadline.Stop()
	x, found, wait := p.register(w)
	if !wait {
		return found, nil
	}
	defer p.forget(x)
	select {
	case found, ok := <-x.answer:
		if !ok {
			return peers.Found{}, &peers.NoPlanner{}
		}
		return found, nil
	case <-deadline.C:
		found.Waiting = w.Answer < w.Wait
		found.Reason = "not ready in time"
		return found, nil
	case <-ctx.Done():
		return peers.Found{}, ctx.Err()
	}
}

// register answers a want at once or notes that it waits.
func (p *Planner) register(w peers.Want) (x *waiter, found peers.Found, wait bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	target := p.wants[w.Target]
	if target == nil {
		target = &wanted{service: w.Service, since: now, waiters: map[*waiter]bool{}}
		p.wants[w.Target] = target
	}
	target.until = now.Add(w.Wait + lingering)
	p.verify(w.Avoid)
	p.wake()
	found, wait = p.find(w)
	if !wait {
		p.met(w.Target, found)
		return nil, found, false
	}
	x = &waiter{want: w, answer: make(chan peers.Found, 1)}
	target.waiters[x] = true
	return x, found, true
}

// forget takes a waiter off.
func (p *Planner) forget(x *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target := p.wants[x.want.Target]; target != nil {
		delete(target.waiters, x)
	}
}

// met ends a want that an instance serves, unless others still wait who cannot use it; the caller holds the lock.
func (p *Planner) met(t site.Adapter, found peers.Found) {
	if target := p.wants[t]; target != nil && len(found.Instances) > 0 && len(target.waiters) == 0 {
		delete(p.wants, t)
	}
}

// answer answers the waiters whose wait is over; it costs each of them one look
// however often beliefs have changed since the last one.
func (p *Planner) answer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, target := range p.wants {
		for x := range target.waiters {
			found, wait := p.find(x.want)
			if wait {
				continue
			}
			delete(target.waiters, x)
			x.answer <- found
			p.met(t, found)
		}
	}
}

// dismiss tells all waiters that this front does not plan.
func (p *Planner) dismiss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.wants {
		for x := range target.waiters {
			close(x.answer)
		}
	}
	clear(p.wants)
}

// verifyEvery bounds how often a server that a front could not use is asked for its report.
const verifyEvery = 200 * time.Millisecond

// verify reads the reports of servers that a front could not use; the caller holds the lock.
func (p *Planner) verify(keys []site.Key) {
	for _, k := range keys {
		s := p.servers[k]
		if s == nil || time.Since(s.asked) < verifyEvery {
			continue
		}
		s.asked = time.Now()
		p.group.Go(func() { p.readReport(context.Background(), s) })
	}
}

// find returns who serves the target; wait is true if the request can wait for one. The caller holds the lock.
func (p *Planner) find(w peers.Want) (found peers.Found, wait bool) {
	for _, s := range p.servers {
		if s.inst.Service == w.Service && s.serves(w.Target) && !slices.Contains(w.Avoid, s.inst.Key) {
			found.Instances = append(found.Instances, s.inst.Key)
			s.touch(w.Target, time.Now())
		}
	}
	if len(found.Instances) > 0 {
		return found, false
	}
	engine := engineOf(p.state(), w.Service)
	if engine == nil || engine.Model(w.Target.Model) == nil {
		found.Reason = "the service has no such model"
		return found, false
	}
	if ready, ok := p.forecast(w.Target.Model); ok {
		found.ReadyIn = time.Until(ready)
		if found.ReadyIn > w.Wait {
			found.Reason = "the load ends too late"
			return found, false
		}
		return found, true
	}
	if model := engine.Model(w.Target.Model); p.unplanned(w.Target) && model.FromStore > w.Wait {
		found.ReadyIn = model.FromStore
		found.Reason = "no server can load the model in time"
		return found, false
	}
	return found, true
}

// planTime is how long after a want was first heard a server should be preparing for it.
const planTime = 400 * time.Millisecond

// unplanned reports whether a want has been known for a while and no server has the model or prepares for it.
func (p *Planner) unplanned(t site.Adapter) bool {
	x := p.wants[t]
	return x != nil && time.Since(x.since) > planTime && p.settled(time.Now().Add(-planTime)) && len(p.holders(x.service, t.Model)) == 0
}

// forecast returns when a server that is being prepared for the model, or will be, is ready.
func (p *Planner) forecast(model string) (time.Time, bool) {
	for _, s := range p.servers {
		if s.awaited == model {
			return s.readyAt, true
		}
	}
	at, ok := p.expected[model]
	return at, ok
}

// holders returns the servers that have the model of a target.
func (p *Planner) holders(service, model string) []*server {
	var out []*server
	for _, s := range p.servers {
		if s.inst.Service == service && s.serves(site.Adapter{Model: model}) {
			out = append(out, s)
		}
	}
	return out
}
