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

// The simulated system: a number of entries that route requests to the replicas of one model.
const (
	simEntries     = 20
	simReplicas    = 8
	simCapacity    = 8
	simServiceTime = 500 * time.Millisecond
	simRequests    = 60_000
)

// completion is the end of a request, whose answer carries the replica's load to its entry.
type completion struct {
	endsAt  time.Duration
	entry   int
	replica int
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooseFunc returns the index of a replica, given one entry's view of all replicas.
type chooseFunc func(known []Replica, rnd *rand.Rand) int

func chooseRandom(known []Replica, rnd *rand.Rand) int { return rnd.IntN(len(known)) }

// chooseLeastReported uses only the last reports and ignores the entry's own requests since then.
func chooseLeastReported(known []Replica, _ *rand.Rand) int {
	least := slices.MinFunc(known, func(a, b Replica) int { return cmp.Compare(a.Running+a.Queued, b.Running+b.Queued) })
	return slices.IndexFunc(known, func(r Replica) bool { return r.Endpoint == least.Endpoint })
}

func chooseOfTwo(known []Replica, rnd *rand.Rand) int { return Choose(known, 0, rnd) }

// simulate sends requests at a share of the total capacity and returns the sorted waits in the replicas' queues.
func simulate(choose chooseFunc, load float64, seed uint64) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 7))
	views := make([][]Replica, simEntries)
	for e := range views {
		for r := range simReplicas {
			views[e] = append(views[e], Replica{Endpoint: fmt.Sprint(r), Loaded: true, SameDomain: true, Capacity: simCapacity, ServiceTime: simServiceTime})
		}
	}
	slotFreeAt := make([][]time.Duration, simReplicas)
	for r := range slotFreeAt {
		slotFreeAt[r] = make([]time.Duration, simCapacity)
	}
	busy := make([]int, simReplicas)
	meanInterarrival := float64(simServiceTime) / (simReplicas * simCapacity * load)
	var pending completionHeap
	var waits []time.Duration
	now := time.Duration(0)
	for range simRequests {
		now += time.Duration(rnd.ExpFloat64() * meanInterarrival)
		for len(pending) > 0 && pending[0].endsAt <= now {
			done := heap.Pop(&pending).(completion)
			busy[done.replica]--
			view := &views[done.entry][done.replica]
			view.Running, view.Queued, view.SentSinceReport = min(busy[done.replica], simCapacity), max(0, busy[done.replica]-simCapacity), 0
		}
		e := rnd.IntN(simEntries)
		r := choose(views[e], rnd)
		views[e][r].SentSinceReport++
		busy[r]++
		slot := slices.Index(slotFreeAt[r], slices.Min(slotFreeAt[r]))
		startAt := max(now, slotFreeAt[r][slot])
		slotFreeAt[r][slot] = startAt + time.Duration(rnd.ExpFloat64()*float64(simServiceTime))
		waits = append(waits, startAt-now)
		heap.Push(&pending, completion{slotFreeAt[r][slot], e, r})
	}
	slices.Sort(waits)
	return waits
}

// BenchmarkRouting compares Choose with baselines in simulated time. An entry gets
// load reports only with the answers to its own requests.
func BenchmarkRouting(b *testing.B) {
	strategies := []struct {
		name   string
		choose chooseFunc
	}{{"random", chooseRandom}, {"least-reported", chooseLeastReported}, {"two-choices", chooseOfTwo}}
	for _, load := range []float64{0.7, 0.9} {
		for _, w := range strategies {
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
