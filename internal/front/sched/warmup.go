package sched

import "time"

const (
	// evictionWarmup is how long a new planner evicts nothing, unless all servers and
	// the demand are known earlier.
	evictionWarmup = 1200 * time.Millisecond
	// storeLoadWarmup is how long a new planner loads nothing from the weight store,
	// unless all fronts report their demand earlier. Every reachable front can report
	// within this time.
	storeLoadWarmup = 650 * time.Millisecond
)

// demandKnown reports whether all fronts have reported their demand to this planner,
// or have had the time to. The caller must hold p.mu.
func (p *Planner) demandKnown(now time.Time) bool {
	if now.Sub(p.leadingSince) >= storeLoadWarmup {
		return true
	}
	fronts := p.state().Fronts
	for name := range fronts {
		if u, ok := p.usageByFront[name]; !ok || u.receivedAt.Before(p.leadingSince) {
			return false
		}
	}
	return len(fronts) > 0
}

// evictionAllowed reports whether models may be evicted: the demand and the state of
// all servers are known, or evictionWarmup has passed. The caller must hold p.mu.
func (p *Planner) evictionAllowed(now time.Time) bool {
	if now.Sub(p.leadingSince) >= evictionWarmup {
		return true
	}
	for _, s := range p.servers {
		if !s.known {
			return false
		}
	}
	return p.demandKnown(now) && len(p.servers) > 0
}
