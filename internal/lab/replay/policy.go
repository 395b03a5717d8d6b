package replay

import (
	"time"

	"foxtailcroft/internal/policy/idle"
)

// KeepAlivePolicy decides how long an idle replica stays loaded.
type KeepAlivePolicy interface {
	Name() string
	// ObserveGap records the idle time that an arrival has just ended.
	ObserveGap(model int, gap time.Duration)
	// KeepAlive returns how long to keep a replica that has just become idle.
	KeepAlive(model int, costs idle.Costs, f Future) time.Duration
}

// Future is knowledge of later arrivals, which only Clairvoyant may use.
type Future struct {
	// NextArrival is the time until the model's next arrival; forever if there is none.
	NextArrival time.Duration
	// LoadTime is the time to load the model, and TotalWait the summed wait of
	// all requests that arrive during that load.
	LoadTime  time.Duration
	TotalWait time.Duration
}

// forever is longer than any trial.
const forever = 10 * 365 * 24 * time.Hour

// Fixed keeps every idle replica for the same time; 0 unloads at once, and a
// negative time never unloads.
type Fixed struct {
	Label    string
	IdleTime time.Duration
}

// Name returns the label.
func (f Fixed) Name() string { return f.Label }

// ObserveGap ignores the gap.
func (Fixed) ObserveGap(int, time.Duration) {}

// KeepAlive returns the fixed time.
func (f Fixed) KeepAlive(int, idle.Costs, Future) time.Duration {
	if f.IdleTime < 0 {
		return forever
	}
	return f.IdleTime
}

// Clairvoyant knows each model's next arrival and either keeps the replica until
// then or unloads it at once, whichever costs less. With CountsAllWaits the cost
// of unloading is the summed wait of all requests that arrive during the load;
// without, it is the wait of a single request.
type Clairvoyant struct {
	CountsAllWaits bool
}

// Name returns the policy's name.
func (c Clairvoyant) Name() string {
	if c.CountsAllWaits {
		return "clairvoyant of crowds"
	}
	return "clairvoyant"
}

// ObserveGap ignores the gap.
func (Clairvoyant) ObserveGap(int, time.Duration) {}

// KeepAlive keeps the replica until the next arrival if the idle time costs no
// more than the cold start, and returns 0 otherwise.
func (c Clairvoyant) KeepAlive(_ int, costs idle.Costs, f Future) time.Duration {
	wait := f.LoadTime
	if c.CountsAllWaits {
		wait = f.TotalWait
	}
	if f.NextArrival.Seconds() <= costs.ColdStartPrice*wait.Seconds() {
		return f.NextArrival + time.Second
	}
	return 0
}

// BreakEven keeps every replica until its idle time costs as much as a cold start.
type BreakEven struct{}

// Name returns the policy's name.
func (BreakEven) Name() string { return "break-even" }

// ObserveGap ignores the gap.
func (BreakEven) ObserveGap(int, time.Duration) {}

// KeepAlive returns the break-even time.
func (BreakEven) KeepAlive(_ int, c idle.Costs, _ Future) time.Duration {
	return idle.BreakEven(c)
}

// Learned is the policy of the production system.
type Learned struct {
	gaps []idle.Gaps
}

// NewLearned returns the policy without observations, for a number of models.
func NewLearned(models int) *Learned {
	return &Learned{gaps: make([]idle.Gaps, models)}
}

// Name returns the policy's name.
func (*Learned) Name() string { return "learned" }

// ObserveGap adds the gap to the model's histogram.
func (l *Learned) ObserveGap(model int, gap time.Duration) {
	l.gaps[model].Observe(gap)
}

// KeepAlive returns the time that the agents' policy decides.
func (l *Learned) KeepAlive(model int, c idle.Costs, _ Future) time.Duration {
	return idle.KeepAlive(&l.gaps[model], c)
}
