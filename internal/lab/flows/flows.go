package flows

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
	At    time.Duration
	Model int
	// Service is how long the request runs once it has begun.
	Service time.Duration
	Urgent  bool
}

// Model is what a workload needs to know of a model.
type Model struct {
	Name  string
	Bytes int64
	// Memory, Disk and Remote are the load times by how near the checkpoint is.
	Memory, Disk, Remote time.Duration
}

// Deployment is one of the users' sizes with its exchange rate.
type Deployment struct {
	Name        string
	Servers     int
	ServerBytes int64
	Models      int
	Adapters    int
	// Price is how many idle accelerator seconds one second of cold start is worth.
	Price float64
	// UrgentShare is the share of urgent requests.
	UrgentShare float64
}

const gigabyte = 1 << 30

// Kiraboshi is the crystal shop: it pays for each idle hour, and its restorers wait patiently.
func Kiraboshi() Deployment {
	return Deployment{Name: "Kiraboshi", Servers: 12, ServerBytes: 80 * gigabyte, Models: 40, Adapters: 80, Price: 8, UrgentShare: 0.2}
}

// WarmHands is the blanket charity: a late answer leaves a shelter waiting on a cold night.
func WarmHands() Deployment {
	return Deployment{Name: "Warm Hands", Servers: 9, ServerBytes: 80 * gigabyte, Models: 20, Adapters: 60, Price: 240, UrgentShare: 0.3}
}

// Workload is a deployment's models and the requests for them in order of time.
type Workload struct {
	Deployment Deployment
	Models     []Model
	Arrivals   []Arrival
	Length     time.Duration
}

// habit is how one model or adapter is used.
type habit struct {
	// sessionsPerDay is the mean number of sessions on a day.
	sessionsPerDay float64
	// requests is the mean number of requests in a session, gap the mean time between them.
	requests float64
	gap      time.Duration
	// every is set for a model that a schedule asks regularly.
	every time.Duration
	// night is the share of sessions outside working hours.
	night float64
	// burst is the number of requests that begin a session at once, at many routers.
	burst int
}

// Generate returns a workload of that many days; halfway, the season changes the habits of a third of the models.
func Generate(d Deployment, days int, seed uint64) Workload {
	rnd := rand.New(rand.NewPCG(seed, uint64(d.Models)))
	w := Workload{Deployment: d, Length: time.Duration(days) * day}
	for range d.Models {
		w.Models = append(w.Models, drawModel(rnd, len(w.Models)))
	}
	for i := range d.Models + d.Adapters {
		model := i
		if i >= d.Models {
			model = rnd.IntN(d.Models)
		}
		first := drawHabit(rnd, i >= d.Models)
		second := first
		if rnd.IntN(3) == 0 {
			second = drawHabit(rnd, i >= d.Models)
		}
		half := w.Length / 2
		w.add(rnd, model, first, 0, half)
		w.add(rnd, model, second, half, w.Length)
	}
	slices.SortFunc(w.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return w
}

const (
	day     = 24 * time.Hour
	opening = 8 * time.Hour
	closing = 19 * time.Hour
)

func drawModel(rnd *rand.Rand, i int) Model {
	gigabytes := 16 + rnd.IntN(48)
	// A remote load moves about four gigabytes a second, a load from disk twice, one from memory eight times that.
	remote := time.Duration(gigabytes) * 250 * time.Millisecond
	return Model{
		Name: fmt.Sprintf("model-%02d", i), Bytes: int64(gigabytes) * gigabyte,
		Memory: engineStart + remote/8, Disk: engineStart + remote/2, Remote: engineStart + remote,
	}
}

// engineStart is the part of a load that does not move weights.
const engineStart = 12 * time.Second

func drawHabit(rnd *rand.Rand, adapter bool) habit {
	h := habit{
		sessionsPerDay: math.Exp(rnd.Float64()*2.6) * 0.5, requests: 3 + rnd.Float64()*12,
		gap: time.Duration(10+rnd.IntN(80)) * time.Second, night: rnd.Float64() * 0.15, burst: 1,
	}
	if adapter {
		h.sessionsPerDay /= 3
	}
	switch rnd.IntN(10) {
	case 0, 1:
		h = habit{every: time.Duration(20+rnd.IntN(100)) * time.Minute, burst: 1}
	case 2, 3:
		h.burst = 16 + rnd.IntN(48)
	case 4, 5:
		h.requests, h.sessionsPerDay = 1, h.sessionsPerDay*2
	}
	return h
}

// add appends the arrivals of one habit in a span of time.
func (w *Workload) add(rnd *rand.Rand, model int, h habit, from, to time.Duration) {
	if h.every > 0 {
		w.addRegular(rnd, model, h, from, to)
		return
	}
	for start := from; start < to; start += day {
		for range poisson(rnd, h.sessionsPerDay) {
			w.addSession(rnd, model, h, start+drawTime(rnd, h.night), to)
		}
	}
}

// addRegular appends the arrivals of a schedule, each up to a minute late.
func (w *Workload) addRegular(rnd *rand.Rand, model int, h habit, from, to time.Duration) {
	for at := from + time.Duration(rnd.Float64()*float64(h.every)); at < to; at += h.every {
		w.append(rnd, model, at+time.Duration(rnd.Float64()*float64(time.Minute)))
	}
}

// addSession appends a burst and the requests that follow it.
func (w *Workload) addSession(rnd *rand.Rand, model int, h habit, at, to time.Duration) {
	for range h.burst {
		w.append(rnd, model, at+time.Duration(rnd.Float64()*float64(burstWidth)))
	}
	for n := poisson(rnd, h.requests-1); n > 0 && at < to; n-- {
		at += time.Duration(rnd.ExpFloat64() * float64(h.gap))
		w.append(rnd, model, at)
	}
}

// burstWidth is the time within which many routers ask at once.
const burstWidth = 2 * time.Second

func (w *Workload) append(rnd *rand.Rand, model int, at time.Duration) {
	if at >= w.Length {
		return
	}
	w.Arrivals = append(w.Arrivals, Arrival{
		At: at, Model: model, Service: 2*time.Second + time.Duration(rnd.ExpFloat64()*float64(4*time.Second)), Urgent: rnd.Float64() < w.Deployment.UrgentShare,
	})
}

// drawTime returns a time of day, mostly in working hours.
func drawTime(rnd *rand.Rand, night float64) time.Duration {
	if rnd.Float64() < night {
		return time.Duration(rnd.Float64() * float64(day))
	}
	return opening + time.Duration(rnd.Float64()*float64(closing-opening))
}

// poisson draws a number of events by multiplying uniform draws, which suits small means.
func poisson(rnd *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}
