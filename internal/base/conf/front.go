package conf

import "time"

// FrontListen are the addresses that a front listens on.
type FrontListen struct {
	Callers string
	// Ready answers the balancer's question.
	Ready string
	// Peers serves the other fronts.
	Peers string
	// Metrics serves counters and histograms; empty for none.
	Metrics string
}

// RetryBudget bounds second sends over all fronts together.
type RetryBudget struct {
	// Ratio is the share of a service's requests that may be sent again.
	Ratio float64
	// Slack is the number of second sends allowed beyond the ratio.
	Slack float64
}

// Bounds are the times that the deployment promises or demands.
type Bounds struct {
	// Grace is the time from the stop signal to the kill.
	Grace time.Duration
	// InForce is how long a configuration may take to be in force.
	InForce time.Duration
	// Lease is the shortest time between orders of two holders to one server.
	Lease time.Duration
	// Returning is how long after an outage of the store announcements may take to come back.
	Returning time.Duration
	// LoadWindow is the span over which loads from the weight store are counted.
	LoadWindow time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// Contact is how long a front must have been undisturbed for the other bounds to hold.
	Contact time.Duration
	// Drain is how long a leaving instance may still be sent requests.
	Drain time.Duration
}

// Front is the settings of an entry that serves a platform's callers from a whole site's declarations.
type Front struct {
	Node   Node
	Listen FrontListen
	// Seeds are peer addresses that may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// ChecksFence says that servers refuse orders with an old fencing number.
	ChecksFence bool
	Retry       RetryBudget
	Bounds      Bounds
	MemoryBytes int64
	// Processor is the part of a core that the machine has, 0 if not known.
	Processor float64
}
