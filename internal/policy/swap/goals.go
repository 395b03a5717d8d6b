package swap

import (
	"cmp"
	"math"
	"slices"
)

// goal is a copy that is to be had.
type goal struct {
	want Want
	// limit is the waiting in seconds that the copy may cost others.
	limit float64
	// saves ranks goals that compete for the weight store.
	saves float64
	// more is set if the model has copies already.
	more bool
}

const (
	// absent is the waiting in seconds that counts for a request that is not served: longer waits are given up.
	absent = 3.0
	// leastGain is the waiting in seconds from which one more copy of a model is looked for.
	leastGain = 1.0
)

// fetches orders what is worth a load from the weight store by the waiting that
// it saves: all of a wanted model that nobody has, and what copies of busy ones spare.
func (d *decision) fetches(shorts []goal) []goal {
	out := slices.Clone(shorts)
	for _, w := range d.Wants {
		out = append(out, goal{want: w, limit: math.Inf(1), saves: absent * max(w.Weight, d.Demand[w.Model].Rate*horizon.Seconds())})
	}
	slices.SortStableFunc(out, func(a, b goal) int { return cmp.Compare(b.saves, a.saves) })
	return out
}

// shorts are the models that one more copy spares waiting, the most urgent first.
func (d *decision) shorts() []goal {
	var list []goal
	for model, asked := range d.Demand {
		m := d.of(model)
		have := m.serving + m.coming
		if have <= 0 || m.servers >= len(d.Servers) || d.catalogue[model] == nil {
			continue
		}
		gain := d.shared(asked, have) - d.shared(asked, have+1) + pauses*m.slowest*asked.Rate*horizon.Seconds()
		if gain > leastGain {
			list = append(list, goal{want: Want{Model: model}, limit: gain, saves: gain, more: true})
		}
	}
	slices.SortFunc(list, func(a, b goal) int {
		return cmp.Or(cmp.Compare(b.saves, a.saves), cmp.Compare(a.want.Model, b.want.Model))
	})
	return list
}
