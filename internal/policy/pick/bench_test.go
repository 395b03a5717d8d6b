package pick

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The size of the simulated routing: entries before replicas of one model.
const (
	simEntries  = 20
	simReplicas = 8
	simCapacity = 8
	simService  = 500 * time.Millisecond
	simRequests = 60_000
)

// end is the end of a request, which tells its entry the replica's load.
type end struct {
	at      time.Duration
	entry   int
	replica int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooser picks a replica by what one entry knows.
type chooser func(known []Replica, rnd *rand.Rand) int

func randomly(known []Replica, rnd *rand.Rand) int { return rnd.IntN(len(known)) }

// leastReported trusts the newest reports and forgets its own requests since.
func leastReported(known []Replica, _ *rand.Rand) int {
	least := slices.MinFunc(known, func(a, b Replica) int { return cmp.Compare(a.Running+a.Queued, b.Running+b.Queued) })
	return slices.IndexFunc(known, func(r Replica) bool { return r.Endpoint == least.Endpoint })
}

func twoChoices(known []Replica, rnd *rand.Rand) int { return Choose(known, 0, rnd) }

// simulate sends requests at a load and returns the sorted waits in the replicas' queues.
func simulate(choose chooser, load float64, seed uint64) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 7))
	known := make([][]Replica, simEntries)
	for e := range known {
		for r := range simReplicas {
			known[e] = append(known[e], Replica{Endpoint: fmt.Sprint(r), Loaded: true, Local: true, Capacity: simCapacity, Service: simService})
		}
	}
	free := make([][]time.Duration, simReplicas)
	for r := range free {
		free[r] = make([]time.Duration, simCapacity)
	}
	busy := make([]int, simReplicas)
	every := float64(simService) / (simReplicas * simCapacity * load)
	var pending ends
	var waits []time.Duration
	now := time.Duration(0)
	for range simRequests {
		now += time.Duration(rnd.ExpFloat64() * every)
		for len(pending) > 0 && pending[0].at <= now {
			done := heap.Pop(&pending).(end)
			busy[done.replica]--
			k := &known[done.entry][done.replica]
			k.Running, k.Queued, k.Sent = min(busy[done.replica], simCapacity), max(0, busy[done.replica]-simCapacity), 0
		}
		e := rnd.IntN(simEntries)
		r := choose(known[e], rnd)
		known[e][r].Sent++
		busy[r]++
		place := slices.Index(free[r], slices.Min(free[r]))
		begin := max(now, free[r][place])
		free[r][place] = begin + time.Duration(rnd.ExpFloat64()*float64(simService))
		waits = append(waits, begin-now)
		heap.Push(&pending, end{free[r][place], e, r})
	}
	slices.Sort(waits)
	return waits
}

// BenchmarkRouting compares the routing with baselines in simulated time, on
// reports that an entry gets only with its own answers.
func BenchmarkRouting(b *testing.B) {
	ways := []struct {
		name   string
		choose chooser
	}{{"random", randomly}, {"least-reported", leastReported}, {"two-choices", twoChoices}}
	for _, load := range []float64{0.7, 0.9} {
		for _, w := range ways {
			b.Run(fmt.Sprintf("load=%g/%s", load, w.name), func(b *testing.B) {
				var waits []time.Duration
				for b.Loop() {
					waits = simulate(w.choose, load, 201)
				}
				b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-ms")
			})
		}
	}
}
