package swap

import (
	"cmp"
	"slices"
	"time"
)

// minExpectedRequests is the number of requests within costHorizon below which a model counts as
// not requested: the decayed rate of a single request falls below it after about 20 s.
const minExpectedRequests = 0.05

// departedGoals returns the models to load before a request asks for them, the one with the largest
// product of requests and their value first. A copy is worth the waits that loads on request would cause over costHorizon.
func (d *decision) departedGoals() []loadGoal {
	var goals []loadGoal
	for _, w := range d.Departed {
		m, demand := d.summary(w.Model), d.Demand[w.Model]
		expected, value := demand.Rate*costHorizon.Seconds(), cmp.Or(demand.Value, 1)
		if m.serverCount > 0 || m.wanted || d.catalogue[w.Model] == nil || expected < minExpectedRequests {
			continue
		}
		w.Weight = unservedWaitSeconds * demand.Rate * value
		goals = append(goals, loadGoal{want: w, savedSeconds: unservedWaitSeconds * expected * value, ahead: true})
	}
	slices.SortFunc(goals, func(a, b loadGoal) int {
		return cmp.Or(cmp.Compare(b.savedSeconds, a.savedSeconds), cmp.Compare(a.want.Model, b.want.Model))
	})
	return goals
}

// withDeparted returns the goals of models that requests wait for, and those of extra copies and departed models by
// the waiting that they save.
func withDeparted(goals, departed []loadGoal) (wanted, spare []loadGoal) {
	first := 0
	for i, g := range goals {
		if !g.extraCopy {
			first = i + 1
		}
	}
	spare = slices.Concat(goals[first:], departed)
	slices.SortStableFunc(spare, func(a, b loadGoal) int { return cmp.Compare(b.savedSeconds, a.savedSeconds) })
	return goals[:first], spare
}

// tryDeparted adds the cheapest load of a departed model if what it costs others is below the
// waits that it saves. It leaves out servers that a deferred load of a wanted model waits for.
func (d *decision) tryDeparted(g loadGoal) {
	slowest := FromStore
	if d.AheadStoreLoadsLeft <= 0 || d.Conservative {
		slowest = FromDisk
	}
	a, s, cost := d.cheapestLoad(g.want, slowest, d.awaitedServers)
	if slowest == FromStore {
		if deferred, sooner := d.deferredLoad(g.want); sooner && (s == nil || deferred.ReadyIn < a.ReadyIn) {
			// A server that has the weights is free or has room soon.
			return
		}
	}
	if s == nil {
		return
	}
	lossSeconds := cost - max(1, g.want.Weight)*a.ReadyIn.Seconds()
	if lossSeconds >= min(1, a.ReadyIn.Seconds()/unservedWaitSeconds)*g.savedSeconds {
		return
	}
	if a.Source == FromStore {
		d.AheadStoreLoadsLeft--
	}
	a.Ahead = true
	d.addAction(s, a)
}

// SoonestLoads returns how soon each wanted model can be loaded by the server that is the first to
// have it, counting on all loads from the weight store to begin at once. A model that no server has
// room for is left out.
func SoonestLoads(in Input) map[string]time.Duration {
	d := newDecision(in)
	out := map[string]time.Duration{}
	for _, w := range d.Wants {
		model := d.catalogue[w.Model]
		if model == nil {
			continue
		}
		for i := range d.Servers {
			s := &d.Servers[i]
			wait, fits := d.timeToRoom(s, model)
			if !fits || s.Busy && s.FreeIn < 0 {
				continue
			}
			_, readyIn := d.weightSource(s, model)
			readyIn += max(wait, s.FreeIn)
			if soonest, ok := out[w.Model]; !ok || readyIn < soonest {
				out[w.Model] = readyIn
			}
		}
	}
	return out
}

// IsAdapterWorthLoading reports whether an adapter whose last server leaves is loaded before a
// request asks for it, in place of one that was last used victimIdle ago. Both cost the same to
// load on request, so that the more recently used one stays.
func IsAdapterWorthLoading(requestedAgo, victimIdle time.Duration) bool {
	return victimIdle > requestedAgo
}
