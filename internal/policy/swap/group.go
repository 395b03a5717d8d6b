package swap

import (
	"cmp"
	"slices"
	"time"
)

// GroupWant is a model that only servers of one group may serve to some requests, such as those that go on with
// streams of one software version, and that too few of them hold.
type GroupWant struct {
	Model string
	// Servers are the IDs of the group's servers, of which the first started at Started, in Unix milliseconds.
	Servers []string
	Started int64
	// Streams is the number of streams of the model that run in the group, and Waiting the number of requests that
	// wait for it there, 0 if a server of the group holds or loads it.
	Streams, Waiting int
	// Waited is the time that the oldest request has waited.
	Waited time.Duration
}

// tryGroups adds loads for groups, those that requests wait for first, then those of the newest group, as the servers
// of older versions may leave soon. A load that no request waits for evicts nothing, and its share of the weight store
// is that of departed models.
func (d *decision) tryGroups(slowest Source) {
	slices.SortStableFunc(d.Groups, func(a, b GroupWant) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Started, a.Started), cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Model, b.Model))
	})
	for _, g := range d.Groups {
		if model := d.catalogue[g.Model]; model == nil || d.chosenModels[g.Model] || d.Conservative {
			continue
		}
		if g.Waiting > 0 {
			d.tryWaitingGroup(g, slowest)
		} else {
			d.trySecondCopy(g, slowest)
		}
	}
}

// tryWaitingGroup adds the cheapest load in a group that requests wait for.
func (d *decision) tryWaitingGroup(g GroupWant, slowest Source) {
	a, s, _ := d.cheapestLoad(Want{Model: g.Model, Weight: float64(g.Waiting), Waited: g.Waited}, slowest, d.outside(g))
	if s != nil {
		d.addAction(s, a)
	}
}

// trySecondCopy adds a load into free memory in a group whose only holder of a model may fail.
func (d *decision) trySecondCopy(g GroupWant, slowest Source) {
	if slowest == FromStore && (d.AheadStoreLoadsLeft <= 0 || d.hasWeights(g)) {
		slowest = FromDisk
	}
	a, s := d.fastestSpareLoad(d.catalogue[g.Model], slowest, d.outside(g))
	if s == nil {
		return
	}
	if a.Source == FromStore {
		d.AheadStoreLoadsLeft--
	}
	a.Ahead = true
	d.addAction(s, a)
}

// outside returns the servers that may not load a model for a group: those of other groups, and those that a wanted
// model waits for.
func (d *decision) outside(g GroupWant) map[string]bool {
	out := make(map[string]bool, len(d.Servers))
	for i := range d.Servers {
		id := d.Servers[i].ID
		out[id] = d.awaitedServers[id] || !slices.Contains(g.Servers, id)
	}
	return out
}

// hasWeights reports whether a server of a group that doesn't hold its model has the weights, so that it can load
// them once it is free or has room.
func (d *decision) hasWeights(g GroupWant) bool {
	return slices.ContainsFunc(d.Servers, func(s Server) bool {
		source, _ := d.weightSource(&s, d.catalogue[g.Model])
		return source != FromStore && !s.holds(g.Model) && slices.Contains(g.Servers, s.ID)
	})
}
