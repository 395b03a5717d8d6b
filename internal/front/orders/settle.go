package orders

import "time"

const (
	// settling is how long a new planner evicts nothing, unless it knows the servers
	// and their demand before.
	settling = 1200 * time.Millisecond
	// listening is how long a new planner loads nothing from the weight store, unless
	// all fronts have reported their demand before; then each had the time to.
	listening = 650 * time.Millisecond
)

// heard reports whether this front has planned long enough to know the demand: all fronts have told theirs, or had the time to.
func (p *Planner) heard(now time.Time) bool {
	if now.Sub(p.since) >= listening {
		return true
	}
	fronts := p.state().Fronts
	for name := range fronts {
		if u, ok := p.uses[name]; !ok || u.at.Before(p.since) {
			return false
		}
	}
	return len(fronts) > 0
}

// settled reports whether models may be evicted: the demand is known, and all servers are, or had the time to be.
func (p *Planner) settled(now time.Time) bool {
	if now.Sub(p.since) >= settling {
		return true
	}
	for _, s := range p.servers {
		if !s.known {
			return false
		}
	}
	return p.heard(now) && len(p.servers) > 0
}
