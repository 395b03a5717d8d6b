package replay

import (
	"slices"
	"time"
)

// Result holds the metrics of one trial, or their sum or mean over several.
type Result struct {
	Policy   string
	Requests int
	// ColdStarts counts the requests that waited for a load, and Refused those
	// whose load ended after their deadline.
	ColdStarts int
	Refused    int
	Loads      int
	// IdleHours is the time during which replicas were loaded without running a request.
	IdleHours float64
	// ColdP50, ColdP99 and ColdP999 are percentiles of the wait of the requests
	// that ColdStarts counts.
	ColdP50, ColdP99, ColdP999 time.Duration
	// Cost is idle accelerator seconds plus cold-start seconds times the
	// deployment's ColdStartPrice.
	Cost float64
}

// ColdShare returns the share of requests that waited for a load; 0 without requests.
func (r Result) ColdShare() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.ColdStarts) / float64(r.Requests)
}

// percentile returns the p-quantile of sorted durations; 0 if there are none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// summarize computes the cold-start metrics and the cost; it sorts waits.
func (r *Result) summarize(waits []time.Duration, price float64) {
	slices.Sort(waits)
	r.ColdStarts = len(waits)
	r.ColdP50, r.ColdP99, r.ColdP999 = percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 0.999)
	r.Cost = r.IdleHours * time.Hour.Seconds()
	for _, w := range waits {
		r.Cost += price * w.Seconds()
	}
}

// Plus returns the sum of two results. It sums percentiles too, so that DividedBy
// gives their mean over seeds.
func (r Result) Plus(o Result) Result {
	return Result{
		Policy: o.Policy, Requests: r.Requests + o.Requests, ColdStarts: r.ColdStarts + o.ColdStarts, Refused: r.Refused + o.Refused, Loads: r.Loads + o.Loads,
		IdleHours: r.IdleHours + o.IdleHours, ColdP50: r.ColdP50 + o.ColdP50, ColdP99: r.ColdP99 + o.ColdP99, ColdP999: r.ColdP999 + o.ColdP999, Cost: r.Cost + o.Cost,
	}
}

// DividedBy returns the mean of a sum over n trials.
func (r Result) DividedBy(n int) Result {
	d := time.Duration(n)
	return Result{
		Policy: r.Policy, Requests: r.Requests / n, ColdStarts: r.ColdStarts / n, Refused: r.Refused / n, Loads: r.Loads / n,
		IdleHours: r.IdleHours / float64(n), ColdP50: r.ColdP50 / d, ColdP99: r.ColdP99 / d, ColdP999: r.ColdP999 / d, Cost: r.Cost / float64(n),
	}
}
