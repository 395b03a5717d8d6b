package swap

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// index holds what one decision derives from its input about models and servers.
type index struct {
	// summaries holds the summaries of models by name.
	summaries map[string]*modelSummary
	// catalogue holds the engine's models by name.
	catalogue map[string]*site.Model
	// baselineRate is the minimum request rate, per second, assumed for any
	// model, because demand shifts to models without recent requests.
	baselineRate float64
	// blockedRates caches the results of blockedRate by server ID.
	blockedRates map[string]float64
	// demand is the recent demand by model.
	demand map[string]Demand
	// unknownServers counts the servers whose state is not known.
	unknownServers int
}

// modelSummary aggregates the state of one model over all servers.
type modelSummary struct {
	// servingCopies and pendingCopies sum the copy weights of the servers that
	// hold the model and of those that are loading it.
	servingCopies float64
	pendingCopies float64
	// serverCount counts these servers without weighting.
	serverCount int
	// firstPendingIn is the forecast time until the first pending copy serves, 0 if there is none.
	firstPendingIn time.Duration
	// minPauseRisk is the lowest Server.PauseRisk among these servers, 1 if there are none.
	minPauseRisk float64
	// freeWithWeights counts the servers that have the weights in memory or on disk and are not busy.
	freeWithWeights int
	// hasLocalWeights is set if any server, busy or not, has the weights in memory or on disk.
	hasLocalWeights bool
	// wanted is set if requests wait for the model.
	wanted bool
}

// demandShiftShare is the assumed share of the demand that shifts to other models during a long load.
const demandShiftShare = 0.5

func newIndex(in *Input) index {
	x := index{summaries: map[string]*modelSummary{}, blockedRates: map[string]float64{}, demand: in.Demand, catalogue: make(map[string]*site.Model, len(in.Engine.Models))}
	for i := range in.Engine.Models {
		x.catalogue[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	for i := range in.Servers {
		x.addServer(&in.Servers[i])
	}
	for _, w := range in.Wants {
		x.summary(w.Model).wanted = true
	}
	for _, d := range in.Demand {
		x.baselineRate += demandShiftShare * d.Rate / float64(max(1, len(in.Engine.Models)))
	}
	return x
}

// summary returns the summary of a model, creating it if needed.
func (x *index) summary(model string) *modelSummary {
	m := x.summaries[model]
	if m == nil {
		m = &modelSummary{minPauseRisk: 1}
		x.summaries[model] = m
	}
	return m
}

func (x *index) addServer(s *Server) {
	for _, c := range s.Copies {
		m := x.summary(c.Model)
		m.servingCopies += x.copyWeight(s, c.Model)
		m.serverCount++
		m.minPauseRisk = min(m.minPauseRisk, s.PauseRisk)
	}
	if s.Loading != "" && !s.holds(s.Loading) {
		m := x.summary(s.Loading)
		readyIn := max(s.FreeIn, time.Millisecond)
		if m.pendingCopies == 0 || readyIn < m.firstPendingIn {
			m.firstPendingIn = readyIn
		}
		m.pendingCopies += x.copyWeight(s, s.Loading)
		m.serverCount++
		m.minPauseRisk = min(m.minPauseRisk, s.PauseRisk)
	}
	if s.Busy && s.FreeIn < 0 {
		x.unknownServers++
	}
	for _, model := range s.OnDisk {
		x.addLocalWeights(model, s)
	}
	for _, model := range s.InMemory {
		if !slices.Contains(s.OnDisk, model) {
			x.addLocalWeights(model, s)
		}
	}
}

func (x *index) addLocalWeights(model string, s *Server) {
	m := x.summary(model)
	m.hasLocalWeights = true
	if !s.Busy {
		m.freeWithWeights++
	}
}

// holds reports whether a server has a model loaded.
func (s *Server) holds(model string) bool {
	return slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model })
}

// copyWeight returns the fraction of a copy that a copy of a model on this server counts as.
func (x *index) copyWeight(s *Server, model string) float64 {
	return (1 - pauseRiskDiscount*s.PauseRisk) * x.servedShare(s, model)
}

// pauseRiskDiscount is the fraction of a copy that is lost on a server where streams pause for too long.
const pauseRiskDiscount = 0.5

// servedShare returns the fraction of a copy's usual request rate that a server takes of a
// model: all, or the model's part of the server's limit.
func (x *index) servedShare(s *Server, model string) float64 {
	if s.MaxRate <= 0 {
		return 1
	}
	total := 0.0
	for _, c := range s.Copies {
		total += x.demand[c.Model].Rate
	}
	own := x.demand[model].Rate
	if !s.holds(model) {
		total += own
	}
	part := 1.0
	if total > 0 {
		part = max(minLimitPart, own/total)
	}
	return min(1, s.MaxRate*part*x.demand[model].prefillSeconds())
}

// minLimitPart is the least part of a server's limit that is counted for a model that it holds.
const minLimitPart = 0.05
