package traces

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request for a model.
type Arrival struct {
	// At is the time since the start of the trace.
	At    time.Duration
	Model int
	// ServiceTime is how long the request runs on a loaded replica.
	ServiceTime time.Duration
	Urgent      bool
}

// Model is the size of a model and its load times.
type Model struct {
	Name  string
	Bytes int64
	// FromMemory, FromDisk and FromStore are load times by where the checkpoint is.
	FromMemory, FromDisk, FromStore time.Duration
}

// Deployment is the size of one of the users' deployments and the price it puts on cold starts.
type Deployment struct {
	Name        string
	Servers     int
	ServerBytes int64
	Models      int
	Adapters    int
	// ColdStartPrice is how many idle accelerator seconds one second of cold start costs.
	ColdStartPrice float64
	// UrgentShare is the share of urgent requests.
	UrgentShare float64
}

const gigabyte = 1 << 30

// Kiraboshi returns the deployment of a crystal shop. Its cold-start price is low
// because it pays for each idle hour and its restorers can wait.
func Kiraboshi() Deployment {
	return Deployment{Name: "Kiraboshi", Servers: 12, ServerBytes: 80 * gigabyte, Models: 40, Adapters: 80, ColdStartPrice: 8, UrgentShare: 0.2}
}

// WarmHands returns the deployment of a blanket charity. Its cold-start price is
// high because a late answer leaves a shelter waiting on a cold night.
func WarmHands() Deployment {
	return Deployment{Name: "Warm Hands", Servers: 9, ServerBytes: 80 * gigabyte, Models: 20, Adapters: 60, ColdStartPrice: 240, UrgentShare: 0.3}
}

// Trace is a deployment's models and the requests for them, sorted by arrival time.
type Trace struct {
	Deployment Deployment
	Models     []Model
	Arrivals   []Arrival
	Length     time.Duration
}

// usagePattern is the distribution of requests for one model or adapter.
type usagePattern struct {
	// sessionsPerDay is the mean number of sessions per day.
	sessionsPerDay float64
	// requestsPerSession is the mean number of requests in a session, and
	// meanGap the mean time between them.
	requestsPerSession float64
	meanGap            time.Duration
	// interval is the time between scheduled requests; 0 for a pattern of sessions.
	interval time.Duration
	// offHoursShare is the share of sessions that begin at any time of the day
	// rather than in working hours.
	offHoursShare float64
	// burstSize is the number of nearly simultaneous requests at the start of a
	// session, sent through many routers.
	burstSize int
}

// Generate returns a workload of a number of days. Halfway through, about a third
// of the models and adapters get a new usage pattern, as when the season changes.
func Generate(d Deployment, days int, seed uint64) Trace {
	rnd := rand.New(rand.NewPCG(seed, uint64(d.Models)))
	w := Trace{Deployment: d, Length: time.Duration(days) * day}
	for range d.Models {
		w.Models = append(w.Models, drawModel(rnd, len(w.Models)))
	}
	for i := range d.Models + d.Adapters {
		model := i
		if i >= d.Models {
			model = rnd.IntN(d.Models)
		}
		first := drawPattern(rnd, i >= d.Models)
		second := first
		if rnd.IntN(3) == 0 {
			second = drawPattern(rnd, i >= d.Models)
		}
		half := w.Length / 2
		w.addPattern(rnd, model, first, 0, half)
		w.addPattern(rnd, model, second, half, w.Length)
	}
	slices.SortFunc(w.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return w
}

const (
	day = 24 * time.Hour
	// workdayStart and workdayEnd are the working hours, as times since midnight.
	workdayStart = 8 * time.Hour
	workdayEnd   = 19 * time.Hour
)

func drawModel(rnd *rand.Rand, i int) Model {
	gigabytes := 16 + rnd.IntN(48)
	// The weight store delivers about 4 GB/s, the disk twice and memory eight times that.
	storeTime := time.Duration(gigabytes) * 250 * time.Millisecond
	return Model{
		Name: fmt.Sprintf("model-%02d", i), Bytes: int64(gigabytes) * gigabyte,
		FromMemory: engineStartTime + storeTime/8, FromDisk: engineStartTime + storeTime/2, FromStore: engineStartTime + storeTime,
	}
}

// engineStartTime is the part of a load time that does not depend on the model's size.
const engineStartTime = 12 * time.Second

func drawPattern(rnd *rand.Rand, adapter bool) usagePattern {
	pattern := usagePattern{
		sessionsPerDay: math.Exp(rnd.Float64()*2.6) * 0.5, requestsPerSession: 3 + rnd.Float64()*12,
		meanGap: time.Duration(10+rnd.IntN(80)) * time.Second, offHoursShare: rnd.Float64() * 0.15, burstSize: 1,
	}
	if adapter {
		pattern.sessionsPerDay /= 3
	}
	switch rnd.IntN(10) {
	case 0, 1:
		pattern = usagePattern{interval: time.Duration(20+rnd.IntN(100)) * time.Minute, burstSize: 1}
	case 2, 3:
		pattern.burstSize = 16 + rnd.IntN(48)
	case 4, 5:
		pattern.requestsPerSession, pattern.sessionsPerDay = 1, pattern.sessionsPerDay*2
	}
	return pattern
}

// addPattern appends the arrivals of a usage pattern between two times.
func (w *Trace) addPattern(rnd *rand.Rand, model int, pattern usagePattern, from, to time.Duration) {
	if pattern.interval > 0 {
		w.addScheduled(rnd, model, pattern, from, to)
		return
	}
	for start := from; start < to; start += day {
		for range poisson(rnd, pattern.sessionsPerDay) {
			w.addSession(rnd, model, pattern, start+drawTimeOfDay(rnd, pattern.offHoursShare), to)
		}
	}
}

// addScheduled appends scheduled arrivals, each delayed by up to a minute.
func (w *Trace) addScheduled(rnd *rand.Rand, model int, pattern usagePattern, from, to time.Duration) {
	for at := from + time.Duration(rnd.Float64()*float64(pattern.interval)); at < to; at += pattern.interval {
		w.addArrival(rnd, model, at+time.Duration(rnd.Float64()*float64(time.Minute)))
	}
}

// addSession appends the burst that begins a session and the requests that follow it.
func (w *Trace) addSession(rnd *rand.Rand, model int, pattern usagePattern, at, to time.Duration) {
	for range pattern.burstSize {
		w.addArrival(rnd, model, at+time.Duration(rnd.Float64()*float64(burstDuration)))
	}
	for n := poisson(rnd, pattern.requestsPerSession-1); n > 0 && at < to; n-- {
		at += time.Duration(rnd.ExpFloat64() * float64(pattern.meanGap))
		w.addArrival(rnd, model, at)
	}
}

// burstDuration is the time within which the requests of a burst arrive.
const burstDuration = 2 * time.Second

func (w *Trace) addArrival(rnd *rand.Rand, model int, at time.Duration) {
	if at >= w.Length {
		return
	}
	w.Arrivals = append(w.Arrivals, Arrival{
		At: at, Model: model, ServiceTime: 2*time.Second + time.Duration(rnd.ExpFloat64()*float64(4*time.Second)), Urgent: rnd.Float64() < w.Deployment.UrgentShare,
	})
}

// drawTimeOfDay returns the time since midnight of a session's start, mostly in working hours.
func drawTimeOfDay(rnd *rand.Rand, offHoursShare float64) time.Duration {
	if rnd.Float64() < offHoursShare {
		return time.Duration(rnd.Float64() * float64(day))
	}
	return workdayStart + time.Duration(rnd.Float64()*float64(workdayEnd-workdayStart))
}

// poisson draws from a Poisson distribution by multiplying uniform draws, which is
// efficient for small means.
func poisson(rnd *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}
