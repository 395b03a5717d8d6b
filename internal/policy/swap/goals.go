package swap

import (
	"cmp"
	"math"
	"slices"
)

// loadGoal is a model of which one more copy is to be loaded.
type loadGoal struct {
	want Want
	// maxCost is the cost in seconds of waiting below which the load is worth it.
	maxCost float64
	// savedSeconds is the waiting time that the copy saves; it ranks goals that compete for the weight store.
	savedSeconds float64
	// extraCopy is set if the model already has copies.
	extraCopy bool
	// ahead is set if no request waits for the model.
	ahead bool
}

const (
	// unservedWaitSeconds is the waiting time charged for a request that is not served, because callers give up longer waits.
	unservedWaitSeconds = 3.0
	// minGainSeconds is the saved waiting time above which one more copy of a model is worth planning.
	minGainSeconds = 1.0
)

// storeGoals returns the goals worth a load from the weight store, the largest
// saving first: extra copies save queueing, and wanted models save the whole wait.
func (d *decision) storeGoals(extraCopies []loadGoal) []loadGoal {
	goals := slices.Clone(extraCopies)
	for _, w := range d.Wants {
		goals = append(goals, loadGoal{want: w, maxCost: math.Inf(1), savedSeconds: unservedWaitSeconds * max(w.Weight, d.Demand[w.Model].Rate*costHorizon.Seconds())})
	}
	slices.SortStableFunc(goals, func(a, b loadGoal) int { return cmp.Compare(b.savedSeconds, a.savedSeconds) })
	return goals
}

// extraCopyGoals returns the models for which one more copy saves enough waiting, the largest saving first.
func (d *decision) extraCopyGoals() []loadGoal {
	var goals []loadGoal
	for model, demand := range d.Demand {
		m := d.summary(model)
		copies := m.servingCopies + m.pendingCopies
		if copies <= 0 || m.serverCount >= len(d.Servers) || d.catalogue[model] == nil {
			continue
		}
		gain := d.queueWaitSeconds(demand, copies) - d.queueWaitSeconds(demand, copies+1) + pausePenaltySeconds*m.minPauseRisk*demand.Rate*costHorizon.Seconds()
		if gain > minGainSeconds {
			goals = append(goals, loadGoal{want: Want{Model: model}, maxCost: gain, savedSeconds: gain, extraCopy: true})
		}
	}
	slices.SortFunc(goals, func(a, b loadGoal) int {
		return cmp.Or(cmp.Compare(b.savedSeconds, a.savedSeconds), cmp.Compare(a.want.Model, b.want.Model))
	})
	return goals
}
