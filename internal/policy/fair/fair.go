package fair

import "math"

// Weight returns the weight of the requests that wait for one resource. The requests of one
// account count less the more of them wait, so that an account gains little by sending more,
// while each further account counts in full. Requests without an account count one each.
func Weight(waitingByAccount map[string]int) float64 {
	total := 0.0
	for account, n := range waitingByAccount {
		if account == "" {
			total += float64(n)
			continue
		}
		total += math.Log2(1 + float64(max(0, n)))
	}
	return total
}

const (
	// lowestPriority is the number of the lowest priority.
	lowestPriority = 9
	// demotionLevel is the fill level of an account's token bucket below which the account has
	// asked for more than its rate for some time.
	demotionLevel = 0.5
)

// Priority returns the priority of an account's request, from 0 for the highest: its own, or one
// lower while the account asks for more than its rate, which its token bucket's level, from 0 to
// 1, shows.
func Priority(own int, level float64) int {
	own = max(0, min(lowestPriority, own))
	if level < demotionLevel {
		return min(lowestPriority, own+1)
	}
	return own
}
