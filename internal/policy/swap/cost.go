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
	// adapterMiss is the waiting in seconds for an adapter that was pushed out.
	adapterMiss = 0.05
)

// shared returns the seconds that the requests of a model wait over the horizon if a number of copies share them.
func (in *Input) shared(d Demand, copies float64) float64 {
	each := d.Each.Seconds()
	if each == 0 {
		each = usualWork.Seconds()
	}
	// The wait of a queue with random arrivals; what is beyond the copies' capacity is not served.
	used := d.Rate * each / copies
	queued := min(used, fullUse)
	lost := max(0, 1-1/max(used, 1))
	wait := (1-lost)*min(absent, each*queued/(1-queued)) + lost*absent
	if d.Adapters > 0 {
		wait += adapterMiss * max(0, 1-copies*float64(in.Engine.AdapterPlaces)/float64(d.Adapters))
	}
	return d.Rate * horizon.Seconds() * wait
}

// pauses is the waiting in seconds that counts for each request at a server where streams pause for too long.
const pauses = 0.3

// at weighs a load at one server: the wait of the wanted model against what the evicted ones lose.
func (in *Input) at(s *Server, model *site.Model, w Want) (Action, float64, bool) {
	if slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model.Name }) {
		return Action{}, 0, false
	}
	source, takes := in.load(s, model)
	if source == FromStore && in.StoreLoads <= 0 {
		return Action{}, 0, false
	}
	evict, harm, wait, ok := in.room(s, model)
	if !ok {
		return Action{}, 0, false
	}
	takes += wait
	if source == FromStore {
		harm += in.blocked(s, takes)
	}
	harm += pauses * s.Slow * in.Demand[model.Name].Rate * horizon.Seconds()
	return Action{Server: s.ID, Evict: evict, Load: model.Name, Source: source, Takes: takes}, max(1, w.Weight)*takes.Seconds() + harm, true
}

// serving counts the servers that have a model, slow ones in part, and tells
// when the first that is about to have it will; 0 if none is.
func (in *Input) serving(model string) (copies float64, coming time.Duration) {
	for i := range in.Servers {
		s := &in.Servers[i]
		switch {
		case s.Awaited == model && (coming == 0 || s.FreeIn < coming):
			coming = max(s.FreeIn, time.Millisecond)
		case slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model }):
			copies += s.worth()
		}
	}
	return copies, coming
}

// blocked is the waiting for what a server cannot load while it is engaged for a
// time: models that it alone has at hand, and adapters of models that it holds.
func (in *Input) blocked(s *Server, d time.Duration) float64 {
	sum := 0.0
	for _, c := range s.Copies {
		if asked := in.Demand[c.Model]; asked.Adapters > 0 {
			sum += absent * adapterAsks * asked.Rate * d.Seconds() / max(1, in.copies(c.Model))
		}
	}
	for i := range in.Engine.Models {
		m := &in.Engine.Models[i]
		if in.atHand(s, m.Name) && in.copies(m.Name) == 0 && !slices.ContainsFunc(in.Servers, func(o Server) bool {
			return o.ID != s.ID && !o.Engaged && in.atHand(&o, m.Name)
		}) {
			sum += absent * in.Demand[m.Name].Rate * d.Seconds()
		}
	}
	return sum
}

// adapterAsks is the share of requests for a model with adapters in use that ask for one that is not loaded.
const adapterAsks = 0.1

// atHand reports whether a server has a model's weights in memory or on disk.
func (in *Input) atHand(s *Server, model string) bool {
	return slices.Contains(s.InMemory, model) || slices.Contains(s.OnDisk, model)
}

// load returns where a server finds a model's weights, and the time that takes.
func (in *Input) load(s *Server, model *site.Model) (Source, time.Duration) {
	switch {
	case slices.Contains(s.InMemory, model.Name) && model.FromMemory > 0:
		return FromMemory, model.FromMemory
	case slices.Contains(s.OnDisk, model.Name) && model.FromDisk > 0:
		return FromDisk, model.FromDisk
	}
	slow := max(1, float64(in.Loading+1)/float64(max(1, in.AtOnce)))
	return FromStore, time.Duration(float64(model.FromStore) * slow)
}

// room chooses the models to evict, least harm first, until the new one fits.
func (in *Input) room(s *Server, model *site.Model) (evict []string, harm float64, wait time.Duration, ok bool) {
	free := in.Engine.WeightsMB - in.reserve(s, model)
	for _, c := range s.Copies {
		free -= in.size(c.Model)
	}
	copies := slices.Clone(s.Copies)
	slices.SortStableFunc(copies, func(a, b Copy) int { return cmp.Compare(in.harm(s, a), in.harm(s, b)) })
	for _, c := range copies {
		if free >= model.SizeMB || in.Keep {
			break
		}
		if c.Age < youngest || c.InFlight > maxInFlight || in.wanted(c.Model) {
			continue
		}
		evict = append(evict, c.Model)
		harm += in.harm(s, c)
		wait = max(wait, unloadTime+time.Duration(c.InFlight)*drainTime)
		free += in.size(c.Model)
	}
	return evict, harm, wait, free >= model.SizeMB
}

// reserve is the room for adapters of the models that a server will hold.
func (in *Input) reserve(s *Server, model *site.Model) float64 {
	largest := model.AdapterMB * float64(min(1, model.Adapters))
	for _, c := range s.Copies {
		if m := in.Engine.Model(c.Model); m != nil && m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(in.Engine.AdapterPlaces)
}

func (in *Input) size(model string) float64 {
	if m := in.Engine.Model(model); m != nil {
		return m.SizeMB
	}
	return in.Engine.WeightsMB
}

// harm is the waiting that the loss of a copy will cost: for a last copy the
// time until it is back, for others the load that moves to the remaining ones.
func (in *Input) harm(s *Server, c Copy) float64 {
	rate := in.Demand[c.Model].Rate
	running := float64(c.InFlight) * drainTime.Seconds()
	others, coming := in.serving(c.Model)
	if others -= s.worth(); others > 0 {
		return running + in.shared(in.Demand[c.Model], others) - in.shared(in.Demand[c.Model], others+s.worth())
	}
	if coming > 0 {
		return running + lastCopy + absent*rate*coming.Seconds()
	}
	model := in.Engine.Model(c.Model)
	if model == nil {
		return running
	}
	_, back := in.load(s, model)
	if back == model.FromStore && model.FromDisk > 0 {
		// What a server has loaded once stays on its disk.
		back = model.FromDisk
	}
	return running + lastCopy + rate*horizon.Seconds()*back.Seconds() + recency/(1+c.Idle.Seconds())
}

const (
	// lastCopy is the least harm of evicting a model's last copy, in seconds of waiting.
	lastCopy = 0.3
	// recency is the harm of evicting a last copy that was used this moment; it fades with its idle time.
	recency = 1.0
)
