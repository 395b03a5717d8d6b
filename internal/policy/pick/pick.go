package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Replica is one endpoint as an entry knows it, by a report that lags.
type Replica struct {
	Endpoint string
	// Loaded is false for a slot that would have to wake.
	Loaded bool
	Local  bool
	// Running, Queued and Capacity are from the last report.
	Running  int
	Queued   int
	Capacity int
	// Sent counts own requests since that report that have not ended.
	Sent    int
	Service time.Duration
	Cold    time.Duration
}

// assumedService stands for the time of a request while none was observed.
const assumedService = 500 * time.Millisecond

// remotePenalty is the expected time that another failure domain must save to be preferred.
const remotePenalty = 5 * time.Millisecond

// Forecast returns the expected time until the replica would begin one more request.
func Forecast(r Replica) time.Duration {
	service := r.Service
	if service == 0 {
		service = assumedService
	}
	capacity := max(1, r.Capacity)
	ahead := max(r.Running+r.Queued, 0) + r.Sent
	var wait time.Duration
	if over := ahead + 1 - capacity; over > 0 {
		wait = service * time.Duration(over) / time.Duration(capacity)
	}
	if !r.Loaded {
		wait += r.Cold
	}
	return wait
}

func score(r Replica) float64 {
	s := float64(Forecast(r))
	if !r.Local {
		s += float64(remotePenalty)
	}
	// Equal forecasts go to the less busy replica.
	return s + float64(r.Running+r.Queued+r.Sent)/float64(max(1, r.Capacity))*float64(time.Millisecond)
}

// boundedLoad is how far above the mean load the replica that holds a prefix may be and still be preferred.
const boundedLoad = 1.25

// Choose returns the index of the replica for a request with a prefix hash, 0
// for none: among loaded replicas the prefix's own one while its load is near
// the mean, else the better of two drawn at random. Without a loaded replica
// it is the first, because one slot's agent decides which slots wake.
func Choose(replicas []Replica, prefix uint64, rnd *rand.Rand) int {
	loaded := make([]int, 0, len(replicas))
	for i, r := range replicas {
		if r.Loaded {
			loaded = append(loaded, i)
		}
	}
	switch len(loaded) {
	case 0:
		return 0
	case 1:
		return loaded[0]
	}
	if prefix != 0 {
		if i := byPrefix(replicas, loaded, prefix); within(replicas, loaded, i) {
			return i
		}
	}
	a := rnd.IntN(len(loaded))
	b := rnd.IntN(len(loaded) - 1)
	if b >= a {
		b++
	}
	if score(replicas[loaded[b]]) < score(replicas[loaded[a]]) {
		a = b
	}
	return loaded[a]
}

// byPrefix returns the replica that a prefix hashes to.
func byPrefix(replicas []Replica, loaded []int, prefix uint64) int {
	best, top := loaded[0], uint64(0)
	for _, i := range loaded {
		h := xxhash.Sum64String(replicas[i].Endpoint) ^ prefix
		h *= 0x9E3779B97F4A7C15
		if h ^= h >> 29; h >= top {
			best, top = i, h
		}
	}
	return best
}

// within reports whether a replica's load with one more request is at most boundedLoad times the mean, rounded up.
func within(replicas []Replica, loaded []int, i int) bool {
	total := 0
	for _, j := range loaded {
		total += busy(replicas[j])
	}
	mean := float64(total+1) / float64(len(loaded))
	return float64(busy(replicas[i])+1) <= math.Ceil(boundedLoad*mean) && Forecast(replicas[i]) == 0
}

func busy(r Replica) int {
	return r.Running + r.Queued + r.Sent
}

// Widen reports whether a slot's agent should send a request on to the next
// slot: its own queue is forecast to take longer than the other's load.
func Widen(queued, capacity int, service, nextCold time.Duration) bool {
	if service == 0 {
		service = assumedService
	}
	wait := service * time.Duration(queued) / time.Duration(max(1, capacity))
	return wait > nextCold
}

// headroom is the part of the remaining time that a forecast answer must leave
// free. Under overload a queue fills up to the last answer that is forecast in
// time, so without headroom every request there ends on the wrong side of its
// deadline as often as not, after it has used up its place.
const headroom = 8

// InTime reports whether an answer is expected before the deadline.
func InTime(wait, service, remaining time.Duration) bool {
	return wait+service <= remaining-remaining/headroom
}
