package trial

import (
	"slices"
	"time"
)

// Result is what the users measure over one trial.
type Result struct {
	Policy   string
	Requests int
	// Cold counts the requests that met a cold start, and Refused those that could not be served in time.
	Cold    int
	Refused int
	Loads   int
	// IdleHours sums the hours in which a replica was loaded and did nothing.
	IdleHours float64
	// ColdP50, ColdP99 and ColdP999 are over the requests that met a cold start.
	ColdP50, ColdP99, ColdP999 time.Duration
	// Cost is idle accelerator seconds plus cold-start seconds at the exchange rate.
	Cost float64
}

// ColdShare returns the share of requests that met a cold start.
func (r Result) ColdShare() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.Cold) / float64(r.Requests)
}

// percentile returns the p-th part of sorted times.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// sum fills in the percentiles and the cost.
func (r *Result) sum(waits []time.Duration, price float64) {
	slices.Sort(waits)
	r.Cold = len(waits)
	r.ColdP50, r.ColdP99, r.ColdP999 = percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 0.999)
	r.Cost = r.IdleHours * time.Hour.Seconds()
	for _, w := range waits {
		r.Cost += price * w.Seconds()
	}
}

// Plus returns the sums of two results; percentiles are summed too, for a mean over seeds.
func (r Result) Plus(o Result) Result {
	return Result{
		Policy: o.Policy, Requests: r.Requests + o.Requests, Cold: r.Cold + o.Cold, Refused: r.Refused + o.Refused, Loads: r.Loads + o.Loads,
		IdleHours: r.IdleHours + o.IdleHours, ColdP50: r.ColdP50 + o.ColdP50, ColdP99: r.ColdP99 + o.ColdP99, ColdP999: r.ColdP999 + o.ColdP999, Cost: r.Cost + o.Cost,
	}
}

// Over returns the result divided by a number of trials.
func (r Result) Over(n int) Result {
	d := time.Duration(n)
	return Result{
		Policy: r.Policy, Requests: r.Requests / n, Cold: r.Cold / n, Refused: r.Refused / n, Loads: r.Loads / n,
		IdleHours: r.IdleHours / float64(n), ColdP50: r.ColdP50 / d, ColdP99: r.ColdP99 / d, ColdP999: r.ColdP999 / d, Cost: r.Cost / float64(n),
	}
}
