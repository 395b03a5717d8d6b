package stall

const (
	// priorFactor is the factor assumed before any observation, and priorWeight the weight of that assumption.
	priorFactor = 0.3
	priorWeight = 5.0
	// maxWeight bounds the weight of past observations, so that newer ones can change the estimate.
	maxWeight = 200.0
	// maxFactor bounds the factor: while demand rises faster than its average follows, pauses look unrelated to it.
	maxFactor = 4.0
	// minUtilization is the utilization below which pauses have other causes than prompts.
	minUtilization = 0.05
)

// Estimate relates the utilization of a server by prompts to the share of its streams
// that pause for too long, which grows with the square of the utilization. The zero
// value has no observations.
type Estimate struct {
	// paused counts paused streams, and exposure sums the squares of the streams' utilizations.
	paused, exposure float64
}

// FromFactor returns an estimate that continues from the factor of another process.
func FromFactor(factor float64) Estimate {
	factor = max(0, min(maxFactor, factor))
	return Estimate{paused: factor*(priorWeight+priorWeight) - priorFactor*priorWeight, exposure: priorWeight}
}

// Observe returns the estimate updated with streams that ended at a utilization, some of them after a pause.
func (e Estimate) Observe(streams, paused int, utilization float64) Estimate {
	if streams <= 0 || utilization < minUtilization {
		return e
	}
	e.paused += float64(min(paused, streams))
	e.exposure += float64(streams) * utilization * utilization
	if e.exposure > maxWeight {
		e.paused *= maxWeight / e.exposure
		e.exposure = maxWeight
	}
	return e
}

// Factor returns the estimated ratio of the share of paused streams to the square of the utilization.
func (e Estimate) Factor() float64 {
	return max(0, min(maxFactor, (e.paused+priorFactor*priorWeight)/(e.exposure+priorWeight)))
}

// Share returns the expected share of paused streams at a utilization for a factor.
func Share(factor, utilization float64) float64 {
	return min(1, factor*utilization*utilization)
}
