package fair

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Weight returns the weight of the requests that wait for one resource, given the urgencies of
// those of each account. The requests of one account count less the more of them wait, the most
// urgent first, so that an account gains little by sending more, while each further account counts
// in full. Requests without an account count by their urgency alone.
func Weight(urgencies map[string][]float64) float64 {
	total := 0.0
	for account, list := range urgencies {
		if account == "" {
			for _, u := range list {
				total += u
			}
			continue
		}
		list = slices.SortedFunc(slices.Values(list), func(a, b float64) int { return cmp.Compare(b, a) })
		for i, u := range list {
			next := 0.0
			if i+1 < len(list) {
				next = list[i+1]
			}
			total += (u - next) * math.Log2(float64(i+2))
		}
	}
	return total
}

// Urgency returns the weight of one request that waits for a load which ends in readyIn: 0 if the
// request can't wait for that long, and otherwise 1 for the most urgent priority among the requests
// that are compared, a half for the next one, a third for the one after it. Less urgent requests
// thus outweigh more urgent ones if they are many, and are never without weight.
func Urgency(priority, mostUrgent int, remaining, readyIn time.Duration) float64 {
	if remaining < readyIn {
		return 0
	}
	return PriorityWeight(float64(priority), float64(mostUrgent))
}

// PriorityWeight is Urgency without a deadline, also for mean priorities.
func PriorityWeight(priority, mostUrgent float64) float64 {
	return 1 / (1 + max(0, priority-mostUrgent))
}
