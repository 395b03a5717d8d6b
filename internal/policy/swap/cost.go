package swap

import (
	"cmp"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

const (
	// drainTimePerRequest is the forecast delay of an unload for each request still running on the evicted model.
	drainTimePerRequest = 1500 * time.Millisecond
	// unloadTime is the forecast duration of an unload with no running requests.
	unloadTime = 50 * time.Millisecond
	// costHorizon is the period over which the waiting caused by loads and evictions is summed.
	costHorizon = 10 * time.Second
	// minCopyAge is the age below which a copy is not evicted, so that two models don't keep evicting each other.
	minCopyAge = 1500 * time.Millisecond
	// maxEvictInFlight bounds the running requests of a copy that may be evicted for a model
	// that has waited for idleEvictionPatience. Before that only idle copies are: an unload
	// waits for running requests and meanwhile keeps the server from other loads.
	maxEvictInFlight     = 2
	idleEvictionPatience = 1200 * time.Millisecond
)

const (
	// defaultPrefillTime is the assumed prefill time of a request while none was observed.
	defaultPrefillTime = 200 * time.Millisecond
	// maxUtilization bounds the utilization in the queueing formula, which diverges at 1.
	maxUtilization = 0.9
	// maxRoomWait bounds how long a wanted model waits for memory on servers that have its weights.
	maxRoomWait = 1500 * time.Millisecond
	// adapterMissSeconds is the waiting time for an adapter that has to be loaded again.
	adapterMissSeconds = 0.05
)

// queueWaitSeconds returns the total waiting time over costHorizon of a model's
// requests when they are spread over a number of copies.
func (d *decision) queueWaitSeconds(demand Demand, copies float64) float64 {
	prefillSeconds := demand.prefillSeconds()
	// Wait in a queue with random arrivals; load beyond the copies' capacity is not served.
	utilization := demand.Rate * prefillSeconds / copies
	servedUtilization := min(utilization, maxUtilization)
	unservedShare := max(0, 1-1/max(utilization, 1))
	waitSeconds := (1-unservedShare)*min(unservedWaitSeconds, prefillSeconds*servedUtilization/(1-servedUtilization)) + unservedShare*unservedWaitSeconds
	if demand.ActiveAdapters > 0 {
		waitSeconds += adapterMissSeconds * max(0, 1-copies*float64(d.Engine.MaxLoadedAdapters)/float64(demand.ActiveAdapters))
	}
	return demand.Rate * costHorizon.Seconds() * waitSeconds
}

// prefillSeconds returns the prefill time of a request in seconds.
func (d Demand) prefillSeconds() float64 {
	if d.PrefillTime == 0 {
		return defaultPrefillTime.Seconds()
	}
	return d.PrefillTime.Seconds()
}

// limitPenaltySeconds is the waiting time charged per request at a server that takes none of the
// usual rate of a copy.
const limitPenaltySeconds = 0.3

// pausePenaltySeconds is the waiting time charged per request at a server where streams pause for too long.
const pausePenaltySeconds = 0.3

// loadAt returns the action that loads a model on one server and its cost in
// seconds of waiting: that for the wanted model plus that caused for other
// models. It returns false if no source at least as fast as slowest has the
// weights, the server already holds the model, or there is no room.
func (d *decision) loadAt(s *Server, model *site.Model, w Want, slowest Source) (Action, float64, bool) {
	source, readyIn := d.weightSource(s, model)
	if source < slowest || source == FromStore && d.StoreLoadsLeft <= 0 || s.holds(model.Name) {
		return Action{}, 0, false
	}
	evict, lossSeconds, unloadWait, ok := d.chooseEvictions(s, model, w.maxEvictInFlight())
	if !ok {
		return Action{}, 0, false
	}
	readyIn += unloadWait
	if source == FromStore {
		lossSeconds += unservedWaitSeconds * d.blockedRate(s) * readyIn.Seconds()
	}
	lossSeconds += limitPenaltySeconds * (1 - d.servedShare(s, model.Name)) * d.Demand[model.Name].Rate * costHorizon.Seconds()
	lossSeconds += pausePenaltySeconds * s.PauseRisk * d.Demand[model.Name].Rate * costHorizon.Seconds()
	return Action{Server: s.ID, Evict: evict, Load: model.Name, Source: source, ReadyIn: readyIn}, max(1, w.Weight)*readyIn.Seconds() + lossSeconds, true
}

// blockedRate returns the requests per second that wait while a server is busy:
// those for unloaded models whose weights it alone of the free servers has, and
// those for adapters not loaded yet of models that it holds.
func (d *decision) blockedRate(s *Server) float64 {
	if rate, ok := d.blockedRates[s.ID]; ok {
		return rate
	}
	rate := 0.0
	for _, c := range s.Copies {
		if demand := d.Demand[c.Model]; demand.ActiveAdapters > 0 {
			m := d.summary(c.Model)
			rate += adapterMissShare * demand.Rate / max(1, m.servingCopies+m.pendingCopies)
		}
	}
	for _, models := range [][]string{s.OnDisk, s.InMemory} {
		for _, model := range models {
			if m := d.summary(model); m.freeWithWeights == 1 && m.servingCopies == 0 && m.pendingCopies == 0 {
				rate += max(d.Demand[model].Rate, d.baselineRate)
			}
		}
	}
	d.blockedRates[s.ID] = rate
	return rate
}

// adapterMissShare is the share of requests that need an adapter not yet loaded, for models with adapters in use.
const adapterMissShare = 0.1

// weightSource returns the fastest source of a model's weights for a server and
// the load time from it. Loads from the weight store slow down in proportion
// when more than StoreConcurrency run.
func (d *decision) weightSource(s *Server, model *site.Model) (Source, time.Duration) {
	switch {
	case slices.Contains(s.InMemory, model.Name) && model.MemoryLoadTime > 0:
		return FromMemory, model.MemoryLoadTime
	case slices.Contains(s.OnDisk, model.Name) && model.DiskLoadTime > 0:
		return FromDisk, model.DiskLoadTime
	}
	slowdown := max(1, float64(d.StoreLoadsRunning+1)/float64(max(1, d.StoreConcurrency)))
	return FromStore, time.Duration(float64(model.StoreLoadTime) * slowdown)
}

// maxEvictInFlight returns how many running requests a copy may have to be evicted for a wanted model.
func (w Want) maxEvictInFlight() int {
	if w.Waited < idleEvictionPatience {
		return 0
	}
	return maxEvictInFlight
}

// chooseEvictions returns the models to evict, cheapest first, until the new one
// fits, with their total cost in seconds of waiting and the time until they are
// unloaded. Copies with more than maxInFlight requests stay. ok is false if the model
// doesn't fit.
func (d *decision) chooseEvictions(s *Server, model *site.Model, maxInFlight int) (evict []string, cost float64, wait time.Duration, ok bool) {
	free := d.freeMB(s) - d.adapterReserveMB(s, model) - d.totalMB(s.Reserved, model.Name)
	fits := free-d.totalMB(s.Replaceable, model.Name) >= model.SizeMB
	if fits || d.Conservative || s.Settling {
		return nil, 0, 0, fits
	}
	type costedCopy struct {
		Copy
		cost float64
	}
	copies := make([]costedCopy, 0, len(s.Copies))
	for _, c := range s.Copies {
		if c.Age >= minCopyAge && c.InFlight <= maxInFlight && !d.summary(c.Model).wanted {
			copies = append(copies, costedCopy{c, d.evictionCost(s, c)})
		}
	}
	slices.SortStableFunc(copies, func(a, b costedCopy) int { return cmp.Compare(a.cost, b.cost) })
	for _, c := range copies {
		if free >= model.SizeMB && len(evict) > 0 {
			break
		}
		evict = append(evict, c.Model)
		cost += c.cost
		wait = max(wait, unloadTime+time.Duration(c.InFlight)*drainTimePerRequest)
		free += d.sizeMB(c.Model)
	}
	return evict, cost, wait, free >= model.SizeMB && len(evict) > 0
}

// totalMB returns the size of models, but for one.
func (d *decision) totalMB(models []string, except string) float64 {
	sum := 0.0
	for _, name := range models {
		if name != except {
			sum += d.sizeMB(name)
		}
	}
	return sum
}

// timeToRoom forecasts the time until a server can have room for a model,
// counting on copies that are now too young or too busy to be evicted. ok is
// false if the model doesn't fit even then.
func (d *decision) timeToRoom(s *Server, model *site.Model) (wait time.Duration, ok bool) {
	free := d.freeMB(s) - d.adapterReserveMB(s, model) - d.totalMB(s.Reserved, model.Name)
	copies := slices.DeleteFunc(slices.Clone(s.Copies), func(c Copy) bool { return d.summary(c.Model).wanted })
	slices.SortStableFunc(copies, func(a, b Copy) int { return cmp.Compare(a.timeToEvict(), b.timeToEvict()) })
	for _, c := range copies {
		if free >= model.SizeMB {
			break
		}
		wait = max(wait, c.timeToEvict())
		free += d.sizeMB(c.Model)
	}
	return wait, free >= model.SizeMB
}

// timeToEvict forecasts the time until a copy can be unloaded.
func (c Copy) timeToEvict() time.Duration {
	return max(0, minCopyAge-c.Age) + unloadTime + time.Duration(c.InFlight)*drainTimePerRequest
}

// freeMB returns a server's free memory for weights, negative if its models exceed it.
func (d *decision) freeMB(s *Server) float64 {
	free := d.Engine.WeightsMB
	for _, c := range s.Copies {
		free -= d.sizeMB(c.Model)
	}
	return free
}

// adapterReserveMB returns the memory to keep free for adapters if a server
// holds its models and the given one.
func (d *decision) adapterReserveMB(s *Server, model *site.Model) float64 {
	largest := model.AdapterMB * float64(min(1, model.AdapterCount))
	for _, c := range s.Copies {
		if m := d.catalogue[c.Model]; m != nil && m.AdapterCount > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(d.Engine.MaxLoadedAdapters)
}

// sizeMB returns the memory that a model's weights need; an unknown model counts as filling the server.
func (d *decision) sizeMB(model string) float64 {
	if m := d.catalogue[model]; m != nil {
		return m.SizeMB
	}
	return d.Engine.WeightsMB
}

// evictionCost returns the seconds of waiting that evicting a copy causes: for a
// model's last copy the time to reload it, otherwise the longer queues at the
// remaining copies.
func (d *decision) evictionCost(s *Server, c Copy) float64 {
	rate := d.Demand[c.Model].Rate
	drainSeconds := float64(c.InFlight) * drainTimePerRequest.Seconds()
	m := d.summary(c.Model)
	if others := m.servingCopies - d.copyWeight(s, c.Model); others > minCopyWeight {
		return drainSeconds + d.queueWaitSeconds(d.Demand[c.Model], others) - d.queueWaitSeconds(d.Demand[c.Model], m.servingCopies)
	}
	if m.pendingCopies > 0 {
		return drainSeconds + lastCopySeconds + unservedWaitSeconds*rate*m.firstPendingIn.Seconds()
	}
	model := d.catalogue[c.Model]
	if model == nil {
		return drainSeconds
	}
	_, reloadTime := d.weightSource(s, model)
	if reloadTime == model.StoreLoadTime && model.DiskLoadTime > 0 {
		// Weights that a server has loaded stay on its disk.
		reloadTime = model.DiskLoadTime
	}
	return drainSeconds + lastCopySeconds + rate*costHorizon.Seconds()*reloadTime.Seconds() + recencySeconds/(1+c.Idle.Seconds())
}

const (
	// lastCopySeconds is the minimum cost of evicting a model's last copy.
	lastCopySeconds = 0.3
	// minCopyWeight is the smallest sum of copy weights that counts as a copy; such sums have rounding errors.
	minCopyWeight = 0.01
	// recencySeconds is the extra cost of evicting a last copy that was just used; it falls with the idle time.
	recencySeconds = 1.0
)
