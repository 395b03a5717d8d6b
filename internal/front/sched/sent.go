package sched

import (
	"maps"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

// sentOrder is an order that the server may have carried out, or may still carry out, although no report
// shows it.
type sentOrder struct {
	order  site.Order
	sentAt time.Time
	// accepted is set if the server has answered that it carries the order out.
	accepted bool
	// overtaken is set once the server has accepted another order with the same precondition.
	overtaken bool
	// passedAt is when the first report was requested whose sequence number is above the precondition: from
	// then on the order has been carried out or never is. Lists of models and adapters lag behind the number.
	passedAt time.Time
}

// isLoad reports whether the order loads a target.
func (x *sentOrder) isLoad(t site.Target) bool {
	return !x.order.Unload && x.order.Target == t
}

// isSame reports whether an order repeats this one.
func (x *sentOrder) isSame(o site.Order) bool {
	return x.order.Unload == o.Unload && x.order.Target == o.Target && x.order.Sequence == o.Sequence
}

// recordSent records an order whose answer is an acceptance or was lost. The caller holds Planner.mu.
func (s *server) recordSent(o site.Order, accepted bool, now time.Time) {
	s.sent = slices.DeleteFunc(s.sent, func(x sentOrder) bool {
		if x.isSame(o) {
			accepted = accepted || x.accepted
			return true
		}
		// An accepted unload ends what an earlier load of the model or adapter has brought.
		return accepted && o.Unload && x.order.Sequence < o.Sequence && (x.order.Target == o.Target || o.Target.Name == "" && x.order.Target.Model == o.Target.Model)
	})
	s.sent = append(s.sent, sentOrder{order: o, sentAt: now, accepted: accepted})
	if !accepted {
		return
	}
	for i := range s.sent[:len(s.sent)-1] {
		if x := &s.sent[i]; x.order.Sequence == o.Sequence {
			x.overtaken = true
		}
	}
}

// markPassed records that the server's number of accepted orders has passed those of sent ones. A report tells
// that even if it is older than the last accepted order, as the number never falls.
func (s *server) markPassed(sequence int64, requestedAt time.Time) {
	for i := range s.sent {
		if x := &s.sent[i]; sequence > x.order.Sequence && x.passedAt.IsZero() {
			x.passedAt = requestedAt
		}
	}
}

// settleSent drops the orders that a report rules out or shows, and returns those without an answer.
func (s *server) settleSent(r site.ServerReport, requestedAt time.Time) []sentOrder {
	var settled []sentOrder
	s.sent = slices.DeleteFunc(s.sent, func(x sentOrder) bool {
		if x.passedAt.IsZero() || !x.isSettled(r, requestedAt) {
			return false
		}
		if !x.accepted {
			settled = append(settled, x)
		}
		return true
	})
	return settled
}

// isSettled reports whether a report shows that an order whose number has been passed has no further effect.
func (x *sentOrder) isSettled(r site.ServerReport, requestedAt time.Time) bool {
	t := x.order.Target
	isListed := t.Name == "" && slices.Contains(r.Models, t.Model) || t.Name != "" && slices.Contains(r.Adapters, t)
	return x.order.Unload || x.overtaken || (isListed || !r.Busy) && requestedAt.Sub(x.passedAt) >= maxListLag
}

// reviveSent makes orders count again that a server with a lower sequence number than expected may still
// carry out: what seemed to be their acceptance, or that of an order in their place, was none.
func (s *server) reviveSent(sequence int64) {
	for i := range s.sent {
		if x := &s.sent[i]; x.order.Sequence >= sequence {
			x.accepted, x.overtaken, x.passedAt = false, false, time.Time{}
		}
	}
}

// explains reports whether orders without an answer account for all accepted ones between two sequence numbers.
func (s *server) explains(from, to int64) bool {
	for n := from; n < to; n++ {
		if s.inFlight != nil && s.inFlight.Sequence == n {
			continue
		}
		if !slices.ContainsFunc(s.sent, func(x sentOrder) bool { return x.order.Sequence == n }) {
			return false
		}
	}
	return true
}

// reservedTargets returns the models and adapters, but for one, that sent loads have brought or may still
// bring to the server and that it isn't known to hold.
func (s *server) reservedTargets(except site.Target) []site.Target {
	var out []site.Target
	for _, x := range s.sent {
		t := x.order.Target
		held := t.Name == "" && s.models[t.Model] != nil || t.Name != "" && s.adapters[t] != nil
		if !x.order.Unload && !x.overtaken && !held && t != except && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

// settlesAdapters reports whether the server has accepted orders after one that loads an adapter, so that
// reports will show what became of it.
func (s *server) settlesAdapters() bool {
	return slices.ContainsFunc(s.reservedTargets(site.Target{}), func(t site.Target) bool {
		return t.Name != "" && slices.ContainsFunc(s.sent, func(x sentOrder) bool { return x.isLoad(t) && x.order.Sequence < s.sequence })
	})
}

// reservedModels returns the models that sent loads may still bring. Those whose loads have the server's
// current sequence number are given apart, as any other order that it accepts rules them out.
func (s *server) reservedModels() (reserved, replaceable []string) {
	for _, t := range s.reservedTargets(site.Target{}) {
		switch {
		case t.Name != "":
		case slices.ContainsFunc(s.sent, func(x sentOrder) bool { return x.isLoad(t) && x.order.Sequence != s.sequence }):
			reserved = append(reserved, t.Model)
		default:
			replaceable = append(replaceable, t.Model)
		}
	}
	return reserved, replaceable
}

// targetMB returns the size of a model or adapter.
func targetMB(e *site.Engine, t site.Target) float64 {
	m := e.Model(t.Model)
	switch {
	case m == nil:
		return 0
	case t.Name != "":
		return m.AdapterMB
	}
	return m.SizeMB
}

// reservedLoads returns the number of models and adapters that room is kept for at servers, for the metrics.
func (p *Planner) reservedLoads() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		n += len(s.reservedTargets(site.Target{}))
	}
	return float64(n)
}

// maxSentAge bounds how long orders to servers are kept that this planner does not follow now.
const maxSentAge = 2 * time.Minute

// unansweredOrders returns the orders that a successor inherits. Those that were answered its first reports
// show, as leases last longer than lists lag. The caller must hold p.mu.
func (p *Planner) unansweredOrders(now time.Time) []peers.UnansweredOrder {
	var out []peers.UnansweredOrder
	add := func(k site.InstanceKey, sent []sentOrder) {
		for _, x := range sent {
			if !x.accepted && !x.overtaken && now.Sub(x.sentAt) < maxSentAge {
				out = append(out, peers.UnansweredOrder{Instance: k, Unload: x.order.Unload, Target: x.order.Target, Sequence: x.order.Sequence, Age: now.Sub(x.sentAt)})
			}
		}
	}
	for k, s := range p.servers {
		add(k, s.sent)
	}
	for k, sent := range p.sentBefore {
		add(k, sent)
	}
	return out
}

// inheritOrders replaces the orders that another planner has published. The caller must hold p.mu.
func (p *Planner) inheritOrders(orders []peers.UnansweredOrder, now time.Time) {
	p.inheritedOrders = map[site.InstanceKey][]sentOrder{}
	for _, x := range orders {
		p.inheritedOrders[x.Instance] = append(p.inheritedOrders[x.Instance], sentOrder{
			order: site.Order{Unload: x.Unload, Target: x.Target, Sequence: x.Sequence}, sentAt: now.Add(-x.Age),
		})
	}
}

// adoptOrders keeps the orders of this planner's earlier term and those that it has inherited, as a new term
// begins. The caller must hold p.mu.
func (p *Planner) adoptOrders(now time.Time) {
	for k, s := range p.servers {
		p.keepSent(k, s.sent, now)
	}
	for k, sent := range p.inheritedOrders {
		p.keepSent(k, sent, now)
	}
	p.inheritedOrders = nil
}

// keepSent keeps the orders to a server that this planner doesn't follow, for when it does. The caller must
// hold p.mu.
func (p *Planner) keepSent(k site.InstanceKey, sent []sentOrder, now time.Time) {
	for _, x := range sent {
		if !slices.ContainsFunc(p.sentBefore[k], func(y sentOrder) bool { return y.isSame(x.order) }) {
			// Other planners may give orders meanwhile.
			x.overtaken, x.passedAt = false, time.Time{}
			p.sentBefore[k] = append(p.sentBefore[k], x)
		}
	}
	for key, kept := range p.sentBefore {
		if !slices.ContainsFunc(kept, func(x sentOrder) bool { return now.Sub(x.sentAt) < maxSentAge }) {
			delete(p.sentBefore, key)
		}
	}
}

// takeSent returns the orders to a server that this planner follows from now on, and drops those to earlier
// processes under its ID, which have ended with these. The caller must hold p.mu.
func (p *Planner) takeSent(k site.InstanceKey) []sentOrder {
	out := p.sentBefore[k]
	maps.DeleteFunc(p.sentBefore, func(other site.InstanceKey, _ []sentOrder) bool { return other.ID == k.ID })
	return out
}
