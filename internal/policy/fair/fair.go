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
