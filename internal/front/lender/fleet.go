package lender

import (
	"maps"
	"slices"
	"time"

	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
)

const (
	// maxPastFleets and fleetMemory bound the remembered sets of fronts. A bucket that is created
	// from what is forgotten starts emptier than it could.
	maxPastFleets = 16
	fleetMemory   = 5 * time.Minute
)

// fleet is the names of the fronts, now and before.
type fleet struct {
	seen *follow.State
	// number changes with the names.
	number int
	names  []string
	past   []pastFleet
}

// pastFleet is the names of the fronts since a time.
type pastFleet struct {
	since time.Duration
	names []string
}

// forget lets the fronts count as known only from the next update on.
func (f *fleet) forget() {
	f.seen, f.names, f.past = nil, nil, nil
}

// size returns the number of fronts.
func (f *fleet) size() int {
	return max(1, len(f.names))
}

// update takes over the fronts of a state.
func (f *fleet) update(s *follow.State, now time.Duration) {
	if s == f.seen {
		return
	}
	f.seen = s
	if len(f.past) > 0 && len(s.Fronts) == len(f.names) && !slices.ContainsFunc(f.names, func(n string) bool { _, ok := s.Fronts[n]; return !ok }) {
		return
	}
	f.number++
	f.names = slices.Sorted(maps.Keys(s.Fronts))
	f.past = append(f.past, pastFleet{since: now, names: f.names})
	if len(f.past) > maxPastFleets {
		f.past = f.past[1:]
	}
	for len(f.past) > 1 && f.past[1].since < now-fleetMemory {
		f.past = f.past[1:]
	}
}

// issuerSince returns since when a front has been the issuer of an account; now if it is not.
func (f *fleet) issuerSince(account, self string, now time.Duration) time.Duration {
	since := now
	for _, p := range slices.Backward(f.past) {
		if pace.Issuer(account, p.names) != self {
			break
		}
		since = p.since
	}
	return since
}
