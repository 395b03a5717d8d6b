package trial

import (
	"time"

	"foxtailcroft/internal/policy/keep"
)

// Keeper decides how long a replica that fell idle stays loaded.
type Keeper interface {
	Name() string
	// Arrived is told of each arrival that ends a quiet time.
	Arrived(model int, gap time.Duration)
	// Decide is asked how long to keep a replica that falls idle.
	Decide(model int, costs keep.Costs, f Future) time.Duration
}

// Future is what only the clairvoyant may use.
type Future struct {
	// Next is the time until the model's next arrival.
	Next time.Duration
	// Load is the time of a load, and Wait what all requests together would wait for it.
	Load time.Duration
	Wait time.Duration
}

// forever is longer than any trial.
const forever = 10 * 365 * 24 * time.Hour

// Fixed keeps every replica for the same time; 0 never keeps, and a negative time always does.
type Fixed struct {
	Label string
	Keep  time.Duration
}

// Name returns the label.
func (f Fixed) Name() string { return f.Label }

// Arrived learns nothing.
func (Fixed) Arrived(int, time.Duration) {}

// Decide returns the fixed time.
func (f Fixed) Decide(int, keep.Costs, Future) time.Duration {
	if f.Keep < 0 {
		return forever
	}
	return f.Keep
}

// Clairvoyant knows each model's next arrival and keeps or drops at once
// accordingly. With Crowds it knows the arrivals after that too, and so what
// all requests together would wait; without, it expects one load's wait.
type Clairvoyant struct {
	Crowds bool
}

// Name returns the policy's name.
func (c Clairvoyant) Name() string {
	if c.Crowds {
		return "clairvoyant of crowds"
	}
	return "clairvoyant"
}

// Arrived learns nothing.
func (Clairvoyant) Arrived(int, time.Duration) {}

// Decide keeps the replica if the idle time costs less than the cold start.
func (c Clairvoyant) Decide(_ int, costs keep.Costs, f Future) time.Duration {
	wait := f.Load
	if c.Crowds {
		wait = f.Wait
	}
	if f.Next.Seconds() <= costs.Price*wait.Seconds() {
		return f.Next + time.Second
	}
	return 0
}

// BreakEven keeps every replica until its idle time costs as much as a cold start.
type BreakEven struct{}

// Name returns the policy's name.
func (BreakEven) Name() string { return "break-even" }

// Arrived learns nothing.
func (BreakEven) Arrived(int, time.Duration) {}

// Decide returns the break-even time.
func (BreakEven) Decide(_ int, c keep.Costs, _ Future) time.Duration {
	return keep.BreakEven(c)
}

// Learned is the system's own policy.
type Learned struct {
	gaps []keep.Gaps
}

// NewLearned returns the policy before it has seen anything.
func NewLearned(models int) *Learned {
	return &Learned{gaps: make([]keep.Gaps, models)}
}

// Name returns the policy's name.
func (*Learned) Name() string { return "learned" }

// Arrived adds the gap to the model's histogram.
func (l *Learned) Arrived(model int, gap time.Duration) {
	l.gaps[model].Observe(gap)
}

// Decide asks the policy that the agents run.
func (l *Learned) Decide(model int, c keep.Costs, _ Future) time.Duration {
	return keep.Alive(&l.gaps[model], c)
}
