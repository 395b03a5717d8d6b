package swap

import (
	"cmp"
	"math"
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

// perCopy is the rate of requests that one copy of a model bears before answers slow down noticeably.
const perCopy = 3.0

// pauses is the waiting in seconds that counts for each request at a server where streams pause for too long.
const pauses = 0.3

// need returns how many copies a model's demand asks for.
func (in *Input) need(model string) int {
	d := in.Demand[model]
	need := int(math.Ceil(d.Rate/perCopy - rounding))
	if in.Engine.AdapterPlaces > 0 {
		need = max(need, (d.Adapters+in.Engine.AdapterPlaces-1)/in.Engine.AdapterPlaces)
	}
	return min(max(need, 1), len(in.Servers))
}

// rounding is the part of a copy's rate that is not worth a copy of its own.
const rounding = 0.3

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
	harm += pauses * s.Slow * in.Demand[model.Name].Rate * horizon.Seconds()
	return Action{Server: s.ID, Evict: evict, Load: model.Name, Source: source, Takes: takes}, max(1, w.Weight)*takes.Seconds() + harm, true
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
	others := in.copies(c.Model) - s.worth()
	need := float64(in.need(c.Model))
	if others >= need {
		return running
	}
	if others > 0 {
		return running + shareLost*rate*horizon.Seconds()*(need-others)/others
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
	// shareLost is the waiting in seconds that a request of a model costs when one of two copies goes.
	shareLost = 0.3
	// lastCopy is the least harm of evicting a model's last copy, in seconds of waiting.
	lastCopy = 0.3
	// recency is the harm of evicting a last copy that was used this moment; it fades with its idle time.
	recency = 1.0
)
