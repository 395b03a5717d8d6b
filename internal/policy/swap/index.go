package swap

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// index is what a decision asks about a model over all servers, gathered once.
type index struct {
	models map[string]*summary
	// catalogue are the engine's models by name.
	catalogue map[string]*site.Model
	// chance is the rate of requests that counts for any model: demand moves
	// to models that were not asked for before.
	chance float64
	// blocks are the requests a second, by server, that wait while it is engaged for long.
	blocks map[string]float64
	// unknown counts the servers of which the state is not known.
	unknown int
}

// summary is what all servers together have of a model.
type summary struct {
	// serving and coming count the servers that have the model or are about to, slow ones in part.
	serving float64
	coming  float64
	// servers counts them all.
	servers int
	// in is when the first that is about to have the model will.
	in time.Duration
	// slowest is how slow the best of them is.
	slowest float64
	// hands counts the free servers that have its weights at hand.
	hands int
	// anywhere is set if any server has.
	anywhere bool
	wanted   bool
}

// moving is the part of the demand that may have moved to other models by the end of a long load.
const moving = 0.5

func newIndex(in *Input) index {
	x := index{models: map[string]*summary{}, blocks: map[string]float64{}, catalogue: make(map[string]*site.Model, len(in.Engine.Models))}
	for i := range in.Engine.Models {
		x.catalogue[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	for i := range in.Servers {
		x.add(&in.Servers[i])
	}
	for _, w := range in.Wants {
		x.of(w.Model).wanted = true
	}
	for _, d := range in.Demand {
		x.chance += moving * d.Rate / float64(max(1, len(in.Engine.Models)))
	}
	return x
}

// of returns the summary of a model.
func (x *index) of(model string) *summary {
	m := x.models[model]
	if m == nil {
		m = &summary{slowest: 1}
		x.models[model] = m
	}
	return m
}

func (x *index) add(s *Server) {
	for _, c := range s.Copies {
		m := x.of(c.Model)
		m.serving += s.worth()
		m.servers++
		m.slowest = min(m.slowest, s.Slow)
	}
	if s.Awaited != "" && !s.holds(s.Awaited) {
		m := x.of(s.Awaited)
		in := max(s.FreeIn, time.Millisecond)
		if m.coming == 0 || in < m.in {
			m.in = in
		}
		m.coming += s.worth()
		m.servers++
		m.slowest = min(m.slowest, s.Slow)
	}
	if s.Engaged && s.FreeIn < 0 {
		x.unknown++
	}
	for _, model := range s.OnDisk {
		x.atHand(model, s)
	}
	for _, model := range s.InMemory {
		if !slices.Contains(s.OnDisk, model) {
			x.atHand(model, s)
		}
	}
}

func (x *index) atHand(model string, s *Server) {
	m := x.of(model)
	m.anywhere = true
	if !s.Engaged {
		m.hands++
	}
}

// holds reports whether a server has a model.
func (s *Server) holds(model string) bool {
	return slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model })
}

// worth is what a copy there counts for.
func (s *Server) worth() float64 {
	return 1 - slowLoss*s.Slow
}

// slowLoss is the part of a copy's use that is lost at a server where streams pause for too long.
const slowLoss = 0.5
