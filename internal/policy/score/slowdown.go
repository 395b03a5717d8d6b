package score

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// slowdownHalfLife is the half-life of what a reported slowdown differs from 1, as it changes
// several times a second.
const slowdownHalfLife = 300 * time.Millisecond

// CurrentSlowdown returns the expected slowdown of an instance that reported one some time ago,
// 0 if it reported none.
func CurrentSlowdown(reported float64, age time.Duration) float64 {
	if reported <= 0 {
		return 0
	}
	return 1 + (reported-1)*math.Exp2(-max(0, age).Seconds()/slowdownHalfLife.Seconds())
}

// AtUsualSpeed returns the time that work would have taken at the usual speed of an instance with a
// slowdown, 0 if none is known.
func AtUsualSpeed(took time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return took
	}
	return time.Duration(float64(took) / slowdown)
}

const (
	// InquiryRounds bounds the inquiries about slowdowns before one request: after the first, the
	// best instances may be others.
	InquiryRounds = 2
	// inquiriesPerRound is the number of instances that are asked at once.
	inquiriesPerRound = 2
	// minInquiryPrefill is the prefill time from which an inquiry is worth the network's round trip.
	minInquiryPrefill = 40 * time.Millisecond
)

// Inquiries returns the indexes of the candidates to ask for their slowdowns before the request is
// sent to the best of them, the best first; none if the prompt is short or there is no choice.
func Inquiries(candidates []Candidate) []int {
	if len(candidates) < 2 {
		return nil
	}
	costs, order := make([]float64, len(candidates)), make([]int, len(candidates))
	for i, c := range candidates {
		costs[i], order[i] = c.CostMs(), i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	if candidates[order[0]].MissingPrefill < minInquiryPrefill {
		return nil
	}
	return order[:inquiriesPerRound]
}
