package conf

import "time"

// FrontListen are the addresses that a front listens on.
type FrontListen struct {
	Callers string
	// Ready serves the readiness checks of the load balancer.
	Ready string
	// Peers serves the other fronts.
	Peers string
	// Metrics serves the metrics; empty disables it.
	Metrics string
}

// RetryBudget bounds the retries of all fronts together.
type RetryBudget struct {
	// Ratio is the share of a service's requests that may be retried.
	Ratio float64
	// Slack is the number of retries allowed in addition to the ratio.
	Slack float64
}

// Bounds holds the time limits that the deployment guarantees or requires.
type Bounds struct {
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// InForce bounds the time until a new configuration is in force.
	InForce time.Duration
	// Lease is the minimum time between orders of two different lease holders to one server.
	Lease time.Duration
	// Returning bounds the time after an outage of the store until announcements are back.
	Returning time.Duration
	// LoadWindow is the time window over which loads from the weight store are counted.
	LoadWindow time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// Contact is how long a front must have been without disturbance before the other bounds hold.
	Contact time.Duration
	// Drain is how long a draining instance may still be sent requests.
	Drain time.Duration
	// StrictRevocation is true if no request may run that was sent later than Revocation after the store
	// acknowledged a document without its key; a Revocation of 0 is no bound.
	StrictRevocation bool
	Revocation       time.Duration
	// Quota bounds what client accounts may get beyond their quotas.
	Quota QuotaBounds
}

// RevocationBound returns the age of a proof up to which keys are admitted, 0 if revocation is not strict.
func (b Bounds) RevocationBound() time.Duration {
	if !b.StrictRevocation {
		return 0
	}
	return b.Revocation
}

// QuotaBounds bounds what an account may get of all fronts in any window: what its quota allows
// times 1+Excess, and Slack. Fields that are 0 are not configured.
type QuotaBounds struct {
	Window time.Duration
	Excess float64
	// Slack is in tokens.
	Slack float64
}

// Front holds the settings of a front: an entry that serves callers by the configuration of a whole deployment.
type Front struct {
	Node   Node
	Listen FrontListen
	// Seeds are addresses of peers to contact first; some may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// ChecksFence is true if model servers reject orders with an old fencing token.
	ChecksFence bool
	Retry       RetryBudget
	Bounds      Bounds
	MemoryBytes int64
	// FileDescriptors is the number of descriptors that the process may open; 0 if unknown.
	FileDescriptors int
	// Processor is the number of CPU cores that the process may use, with fractions; 0 if unknown.
	Processor float64
	// LinkBytesPerSecond is the bandwidth of the machine's link in each direction; 0 if unknown.
	LinkBytesPerSecond float64
	// MaxValueBytes bounds a value in the store.
	MaxValueBytes int
}
