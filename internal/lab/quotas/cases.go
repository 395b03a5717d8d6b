package quotas

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/quota"
)

const (
	wayFixed   = "fixed share"
	wayLending = "lending"
	wayRemote  = "remote question"
)

// simCase is what happens to a site at 12 s.
type simCase struct {
	name  string
	event func(*simSite)
}

const (
	// excessEvent is when an event happens while the account is in excess, from 11 s to 19 s, and
	// usualEvent when it happens while demand is as usual.
	excessEvent = 12 * time.Second
	usualEvent  = 28 * time.Second
)

var simCases = []simCase{
	{"undisturbed", func(*simSite) {}},
	{"issuer cut off for 15 s", func(s *simSite) {
		f := s.issuer()
		s.locked(func() { f.cut, f.confirmed = true, time.Now() })
		s.expire(f)
		time.Sleep(13 * time.Second)
		s.back(f)
	}},
	{"issuer frozen for 5 s", func(s *simSite) {
		f := s.issuer()
		s.locked(func() { f.frozen, f.confirmed = true, time.Now() })
		s.expire(f)
		time.Sleep(3 * time.Second)
		s.back(f)
	}},
	{"issuer killed", func(s *simSite) {
		f := s.issuer()
		s.locked(func() { f.dead = true; f.stop() })
		s.expire(f)
	}},
	{"issuer restarted after 1 s", func(s *simSite) {
		f := s.issuer()
		s.locked(func() { f.dead = true; f.stop() })
		time.Sleep(time.Second)
		s.locked(func() { s.start(f); s.publish() })
	}},
	{"all fronts killed and back after 1 s", func(s *simSite) {
		s.locked(func() {
			for _, f := range s.fronts {
				f.dead = true
				f.stop()
			}
			s.central, s.fixed = map[string]*quota.Bucket{}, map[string]*quota.Bucket{}
		})
		time.Sleep(time.Second)
		s.locked(func() {
			for _, f := range s.fronts {
				s.start(f)
			}
			s.publish()
		})
	}},
	{"store away for 15 s", func(s *simSite) {
		s.locked(func() {
			s.storeAway = true
			for _, f := range s.fronts {
				f.confirmed = time.Now()
			}
		})
		time.Sleep(15 * time.Second)
		s.locked(func() { s.storeAway = false })
	}},
	{"limit lowered to a half", func(s *simSite) {
		s.locked(func() {
			lower := *s.account
			lower.Quota.PerSecond /= 2
			lower.Quota.Burst /= 2
			s.account, s.version = &lower, 2
		})
	}},
}

// simResult is what a way admitted.
type simResult struct {
	// excess is the most of any window over its limit, as a share of it; loss is the part missing of
	// what one bucket for all would have admitted; wrong is the share of requests that were rejected
	// while demand was as usual and one bucket would have admitted them.
	excess, loss, wrong float64
	calls               float64
}

type arrival struct {
	at       time.Duration
	front    int
	cost     float64
	usual    bool
	admitted bool
}

// arrivals draws requests of 36 s: usual demand, and 5 times as much from 11 s to 19 s, from
// clients distributed unevenly over the fronts.
func arrivals(seed uint64, n int, q site.Quota) []*arrival {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	var weights []float64
	total := 0.0
	for i := range n {
		total += 1 / float64(1+i)
		weights = append(weights, total)
	}
	order := r.Perm(n)
	var out []*arrival
	for at := 4 * time.Second; at < 40*time.Second; {
		cost, mean := 1.0, 1.0
		if q.CountsTokens {
			cost, mean = 200+1800*r.Float64(), 1100
		}
		demand, usual := q.PerSecond/1.8, true
		if at > 11*time.Second && at < 19*time.Second {
			demand, usual = demand*5, false
		}
		at += time.Duration(r.ExpFloat64() * mean / demand * float64(time.Second))
		front, _ := slices.BinarySearch(weights, r.Float64()*total)
		// Until 3 s after the excess a bucket is not full yet.
		out = append(out, &arrival{at: at, front: order[min(front, n-1)], cost: cost, usual: usual && (at < 11*time.Second || at > 25*time.Second)})
	}
	return out
}

// judge compares what was admitted with one bucket for all fronts.
func judge(all []*arrival, q site.Quota, lowered time.Duration) simResult {
	limit := quota.Limit{PerSecond: q.PerSecond, Burst: q.Burst}
	half := quota.Limit{PerSecond: q.PerSecond / 2, Burst: q.Burst / 2}
	ideal, got, want, wrong, usual := quota.NewBucket(limit, -time.Hour, 0, 1), 0.0, 0.0, 0, 0
	for _, a := range all {
		if lowered > 0 && a.at >= lowered {
			ideal.SetLimit(half)
		}
		ideal.Advance(a.at, 1)
		_, due := ideal.Take(a.cost)
		if due {
			want += a.cost
		}
		if a.admitted {
			got += a.cost
		}
		if a.usual && due {
			usual++
			if !a.admitted {
				wrong++
			}
		}
	}
	return simResult{excess: worstWindow(all, limit, half, lowered), loss: 1 - got/want, wrong: float64(wrong) / float64(max(1, usual))}
}

// worstWindow returns the most that was admitted in any window above its limit, as a share of it.
func worstWindow(all []*arrival, limit, half quota.Limit, lowered time.Duration) float64 {
	worst := 0.0
	for i, a := range all {
		allowed := limit.PerSecond*window.Seconds() + limit.Burst
		if lowered > 0 && a.at >= lowered+window {
			allowed = half.PerSecond*window.Seconds() + half.Burst
		}
		sum := 0.0
		for _, x := range all[i:] {
			if x.at-a.at > window {
				break
			}
			if x.admitted {
				sum += x.cost
			}
		}
		worst = max(worst, sum/allowed-1)
	}
	return worst
}

// simQuotas are the quotas of the simulated account.
var simQuotas = []struct {
	name string
	site.Quota
}{
	{"tokens", site.Quota{PerSecond: 20_000, Burst: 40_000, CountsTokens: true}},
	{"requests", site.Quota{PerSecond: 20, Burst: 20}},
}
