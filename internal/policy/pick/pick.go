package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Replica is an entry's view of one endpoint, based on its last report, which may be out of date.
type Replica struct {
	Endpoint string
	// Loaded is false if the slot needs a cold start.
	Loaded bool
	// SameDomain is set if the endpoint is in the entry's own failure domain.
	SameDomain bool
	// Running, Queued and Capacity are from the last report.
	Running  int
	Queued   int
	Capacity int
	// SentSinceReport counts the entry's own requests since that report that have not ended.
	SentSinceReport int
	// ServiceTime is the observed time to serve a request, 0 if not known.
	ServiceTime time.Duration
	// ColdStart is the expected time until the slot is loaded, if Loaded is false.
	ColdStart time.Duration
}

// defaultServiceTime is the assumed time to serve a request while none was observed.
const defaultServiceTime = 500 * time.Millisecond

// remotePenalty is the time that a replica in another failure domain must save to be preferred.
const remotePenalty = 5 * time.Millisecond

// ForecastWait returns the expected time until the replica would start one more request,
// 0 if it is loaded and has capacity.
func ForecastWait(r Replica) time.Duration {
	service := r.ServiceTime
	if service == 0 {
		service = defaultServiceTime
	}
	capacity := max(1, r.Capacity)
	ahead := max(r.Running+r.Queued, 0) + r.SentSinceReport
	var wait time.Duration
	if excess := ahead + 1 - capacity; excess > 0 {
		wait = service * time.Duration(excess) / time.Duration(capacity)
	}
	if !r.Loaded {
		wait += r.ColdStart
	}
	return wait
}

// score returns the forecast in nanoseconds plus penalties; lower is better.
func score(r Replica) float64 {
	s := float64(ForecastWait(r))
	if !r.SameDomain {
		s += float64(remotePenalty)
	}
	// Equal forecasts go to the less busy replica.
	return s + float64(r.Running+r.Queued+r.SentSinceReport)/float64(max(1, r.Capacity))*float64(time.Millisecond)
}

// maxLoadRatio is the ratio to the mean load up to which a replica is preferred for the prefixes that hash to it.
const maxLoadRatio = 1.25

// Choose returns the index of the replica for a request with the given prefix
// hash, 0 for none. Among loaded replicas it is the one that the prefix hashes to
// while its load is near the mean, else the better of two random ones. Without a
// loaded replica it is the first, whose agent decides which slots are loaded.
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
		if i := prefixReplica(replicas, loaded, prefix); withinLoadBound(replicas, loaded, i) {
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

// prefixReplica returns the index of the replica that a prefix hashes to (rendezvous hashing).
func prefixReplica(replicas []Replica, loaded []int, prefix uint64) int {
	best, topHash := loaded[0], uint64(0)
	for _, i := range loaded {
		h := xxhash.Sum64String(replicas[i].Endpoint) ^ prefix
		h *= 0x9E3779B97F4A7C15
		if h ^= h >> 29; h >= topHash {
			best, topHash = i, h
		}
	}
	return best
}

// withinLoadBound reports whether a replica could start one more request at once and its
// load would then be at most maxLoadRatio times the mean, rounded up.
func withinLoadBound(replicas []Replica, loaded []int, i int) bool {
	total := 0
	for _, j := range loaded {
		total += requestCount(replicas[j])
	}
	mean := float64(total+1) / float64(len(loaded))
	return float64(requestCount(replicas[i])+1) <= math.Ceil(maxLoadRatio*mean) && ForecastWait(replicas[i]) == 0
}

// requestCount returns the number of requests known at a replica.
func requestCount(r Replica) int {
	return r.Running + r.Queued + r.SentSinceReport
}

// ShouldForward reports whether a slot's agent should forward a request to the next
// slot, because its own queue is forecast to take longer than that slot's cold start.
func ShouldForward(queued, capacity int, service, nextCold time.Duration) bool {
	if service == 0 {
		service = defaultServiceTime
	}
	wait := service * time.Duration(queued) / time.Duration(max(1, capacity))
	return wait > nextCold
}

// headroomDivisor sets the share of the remaining time, 1/headroomDivisor, that a
// forecast answer must leave free. Under overload a queue fills up to the last
// answer forecast to be in time. Without headroom, about half the requests there
// would miss their deadline after using up capacity.
const headroomDivisor = 8

// MeetsDeadline reports whether an answer is expected before the deadline with headroom.
func MeetsDeadline(wait, service, remaining time.Duration) bool {
	return wait+service <= remaining-remaining/headroomDivisor
}
