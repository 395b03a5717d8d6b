package swap

import (
	"cmp"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

const (
	// drainTime is the forecast for each request that still runs on an evicted model.
	drainTime = 1500 * time.Millisecond
	// unloadTime is the forecast for an unload that nothing holds up.
	unloadTime = 50 * time.Millisecond
	// horizon is the time over which the return of an evicted model is weighed.
	horizon = 10 * time.Second
	// youngest is how long a copy stays at the least, so that two models do not push each other out.
	youngest = 1500 * time.Millisecond
	// maxInFlight is how many running requests an unload may wait for at the most.
	maxInFlight = 2
)

const (
	// usualWork is the time for reading a prompt before it is known.
	usualWork = 200 * time.Millisecond
	// fullUse bounds the share of a server's time in use that its queue is computed for.
	fullUse = 0.9
	// roomPatience is how long a want waits for room at servers that have its weights.
	roomPatience = 1500 * time.Millisecond
	// adapterMiss is the waiting in seconds for an adapter that was pushed out.
	adapterMiss = 0.05
)

// shared returns the seconds that the requests of a model wait over the horizon if a number of copies share them.
func (d *decision) shared(asked Demand, copies float64) float64 {
	each := asked.Each.Seconds()
	if each == 0 {
		each = usualWork.Seconds()
	}
	// The wait of a queue with random arrivals; what is beyond the copies' capacity is not served.
	used := asked.Rate * each / copies
	queued := min(used, fullUse)
	lost := max(0, 1-1/max(used, 1))
	wait := (1-lost)*min(absent, each*queued/(1-queued)) + lost*absent
	if asked.Adapters > 0 {
		wait += adapterMiss * max(0, 1-copies*float64(d.Engine.AdapterPlaces)/float64(asked.Adapters))
	}
	return asked.Rate * horizon.Seconds() * wait
}

// pauses is the waiting in seconds that counts for each request at a server where streams pause for too long.
const pauses = 0.3

// at weighs a load at one server, from a source at least as fast as the slowest
// allowed: the wait of the wanted model against what the evicted ones lose.
func (d *decision) at(s *Server, model *site.Model, w Want, slowest Source) (Action, float64, bool) {
	source, takes := d.load(s, model)
	if source < slowest || source == FromStore && d.StoreLoads <= 0 || s.holds(model.Name) {
		return Action{}, 0, false
	}
	evict, harm, wait, ok := d.room(s, model)
	if !ok {
		return Action{}, 0, false
	}
	takes += wait
	if source == FromStore {
		harm += absent * d.blocked(s) * takes.Seconds()
	}
	harm += pauses * s.Slow * d.Demand[model.Name].Rate * horizon.Seconds()
	return Action{Server: s.ID, Evict: evict, Load: model.Name, Source: source, Takes: takes}, max(1, w.Weight)*takes.Seconds() + harm, true
}

// blocked returns the requests a second for what a server cannot load while it
// is engaged: models that it alone has at hand, and adapters of models that it holds.
func (d *decision) blocked(s *Server) float64 {
	if rate, ok := d.blocks[s.ID]; ok {
		return rate
	}
	rate := 0.0
	for _, c := range s.Copies {
		if asked := d.Demand[c.Model]; asked.Adapters > 0 {
			m := d.of(c.Model)
			rate += adapterAsks * asked.Rate / max(1, m.serving+m.coming)
		}
	}
	for _, list := range [][]string{s.OnDisk, s.InMemory} {
		for _, model := range list {
			if m := d.of(model); m.hands == 1 && m.serving == 0 && m.coming == 0 {
				rate += max(d.Demand[model].Rate, d.chance)
			}
		}
	}
	d.blocks[s.ID] = rate
	return rate
}

// adapterAsks is the share of requests for a model with adapters in use that ask for one that is not loaded.
const adapterAsks = 0.1

// load returns where a server finds a model's weights, and the time that takes.
func (d *decision) load(s *Server, model *site.Model) (Source, time.Duration) {
	switch {
	case slices.Contains(s.InMemory, model.Name) && model.FromMemory > 0:
		return FromMemory, model.FromMemory
	case slices.Contains(s.OnDisk, model.Name) && model.FromDisk > 0:
		return FromDisk, model.FromDisk
	}
	slow := max(1, float64(d.Loading+1)/float64(max(1, d.AtOnce)))
	return FromStore, time.Duration(float64(model.FromStore) * slow)
}

// room chooses the models to evict, least harm first, until the new one fits.
func (d *decision) room(s *Server, model *site.Model) (evict []string, harm float64, wait time.Duration, ok bool) {
	free := d.free(s) - d.reserve(s, model)
	if free >= model.SizeMB || d.Keep {
		return nil, 0, 0, free >= model.SizeMB
	}
	type weighed struct {
		Copy
		harm float64
	}
	copies := make([]weighed, 0, len(s.Copies))
	for _, c := range s.Copies {
		if c.Age >= youngest && c.InFlight <= maxInFlight && !d.of(c.Model).wanted {
			copies = append(copies, weighed{c, d.harm(s, c)})
		}
	}
	slices.SortStableFunc(copies, func(a, b weighed) int { return cmp.Compare(a.harm, b.harm) })
	for _, c := range copies {
		if free >= model.SizeMB {
			break
		}
		evict = append(evict, c.Model)
		harm += c.harm
		wait = max(wait, unloadTime+time.Duration(c.InFlight)*drainTime)
		free += d.size(c.Model)
	}
	return evict, harm, wait, free >= model.SizeMB
}

// roomIn forecasts when a server will have room for a model: copies that are
// too young or in use to be evicted now are not for long.
func (d *decision) roomIn(s *Server, model *site.Model) (wait time.Duration, ok bool) {
	free := d.free(s) - d.reserve(s, model)
	copies := slices.DeleteFunc(slices.Clone(s.Copies), func(c Copy) bool { return d.of(c.Model).wanted })
	slices.SortStableFunc(copies, func(a, b Copy) int { return cmp.Compare(a.evictableIn(), b.evictableIn()) })
	for _, c := range copies {
		if free >= model.SizeMB {
			break
		}
		wait = max(wait, c.evictableIn())
		free += d.size(c.Model)
	}
	return wait, free >= model.SizeMB
}

// evictableIn forecasts when a copy can have made way.
func (c Copy) evictableIn() time.Duration {
	return max(0, youngest-c.Age) + unloadTime + time.Duration(c.InFlight)*drainTime
}

// free returns the memory for weights that a server has left, in MB.
func (d *decision) free(s *Server) float64 {
	free := d.Engine.WeightsMB
	for _, c := range s.Copies {
		free -= d.size(c.Model)
	}
	return free
}

// reserve is the room for adapters of the models that a server will hold.
func (d *decision) reserve(s *Server, model *site.Model) float64 {
	largest := model.AdapterMB * float64(min(1, model.Adapters))
	for _, c := range s.Copies {
		if m := d.catalogue[c.Model]; m != nil && m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(d.Engine.AdapterPlaces)
}

func (d *decision) size(model string) float64 {
	if m := d.catalogue[model]; m != nil {
		return m.SizeMB
	}
	return d.Engine.WeightsMB
}

// harm is the waiting that the loss of a copy will cost: for a last copy the
// time until it is back, for others the load that moves to the remaining ones.
func (d *decision) harm(s *Server, c Copy) float64 {
	rate := d.Demand[c.Model].Rate
	running := float64(c.InFlight) * drainTime.Seconds()
	m := d.of(c.Model)
	if others := m.serving - s.worth(); others > aCopy {
		return running + d.shared(d.Demand[c.Model], others) - d.shared(d.Demand[c.Model], m.serving)
	}
	if m.coming > 0 {
		return running + lastCopy + absent*rate*m.in.Seconds()
	}
	model := d.catalogue[c.Model]
	if model == nil {
		return running
	}
	_, back := d.load(s, model)
	if back == model.FromStore && model.FromDisk > 0 {
		// What a server has loaded once stays on its disk.
		back = model.FromDisk
	}
	return running + lastCopy + rate*horizon.Seconds()*back.Seconds() + recency/(1+c.Idle.Seconds())
}

const (
	// lastCopy is the least harm of evicting a model's last copy, in seconds of waiting.
	lastCopy = 0.3
	// aCopy is the least that counts as a copy; sums of parts are not exact.
	aCopy = 0.01
	// recency is the harm of evicting a last copy that was used this moment; it fades with its idle time.
	recency = 1.0
)
