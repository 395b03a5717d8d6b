package emul

import (
	"slices"
	"time"

	"foxtailcroft/internal/core/site"
)

// Spec says how fast servers are. The figures of Usual are those of the sites'
// engine: a 70B model on two accelerators.
type Spec struct {
	// Step is the time of one step of a batch, PerRequest and PerThousand what
	// each request and each thousand tokens in memory add to it.
	Step        time.Duration
	PerRequest  time.Duration
	PerThousand time.Duration
	// TokensPerMs is how many prompt tokens are read in a millisecond, and
	// PairTime what a million pairs of tokens add.
	TokensPerMs float64
	PairTime    time.Duration
	// Piece is how many prompt tokens one step reads at the most, and Stride the tokens of one event.
	Piece  int
	Stride int
	// Speeds are the servers' factors of time, in turn.
	Speeds []float64
}

// Usual returns the sites' servers: every third is slower.
func Usual() Spec {
	return Spec{
		Step: 4430 * time.Microsecond, PerRequest: 19 * time.Microsecond, PerThousand: 11 * time.Microsecond,
		TokensPerMs: 38.1, PairTime: 737 * time.Microsecond, Piece: 2048, Stride: 5, Speeds: []float64{1, 1, 1.3},
	}
}

// run is a request at a server.
type run struct {
	req *request
	// missing are the prompt tokens still to be read, read those that were, and out the tokens made.
	missing int
	read    int
	out     int
	pace    float64
	event   time.Duration
}

// server is one emulated server.
type server struct {
	spec    *Spec
	id      string
	speed   float64
	runs    []*run
	held    map[string]*held
	onDisk  []string
	parts   map[string]bool
	loading string
	// evicting are the models that make way for the one that is loaded.
	evicting []string
	freeAt   time.Duration
	// stepping is set while a step is under way.
	stepping bool
}

// held is a model in a server's memory.
type held struct {
	since   time.Duration
	lastUse time.Duration
}

// step carries out one step of the batch and returns its time; done is called
// for each request with the events that the step completed.
func (s *server) step() time.Duration {
	var cost time.Duration
	budget, tokens, pace := s.spec.Piece, 0, 0.0
	for _, r := range s.runs {
		tokens += r.read + r.out
		pace = max(pace, r.pace)
		n := min(r.missing, budget)
		if n == 0 {
			continue
		}
		pairs := float64(n) * (float64(r.read) + float64(n)/2) / 1e6
		reading := time.Duration(float64(n) / s.spec.TokensPerMs * float64(time.Millisecond))
		cost += time.Duration(r.pace * float64(reading+time.Duration(pairs*float64(s.spec.PairTime))))
		r.missing, r.read, budget = r.missing-n, r.read+n, budget-n
	}
	base := time.Duration(pace*float64(s.spec.Step)) + time.Duration(len(s.runs))*s.spec.PerRequest + time.Duration(tokens/1000)*s.spec.PerThousand
	return time.Duration(s.speed * float64(cost+base))
}

// tokens gives each request that has been read its next token; those that are complete leave.
func (s *server) tokens(now time.Duration, event func(r *run, gap time.Duration)) {
	s.runs = slices.DeleteFunc(s.runs, func(r *run) bool {
		if r.missing > 0 {
			return false
		}
		r.out++
		if r.out == 1 || r.out%s.spec.Stride == 0 {
			gap := time.Duration(0)
			if r.out > 1 {
				gap = now - r.event
			}
			r.event = now
			event(r, gap)
		}
		return r.out >= r.req.out
	})
}

// begin takes a request in.
func (s *server) begin(q *request, pace float64, now time.Duration) {
	missing := s.missing(q)
	for _, p := range q.parts {
		s.parts[q.model+"/"+p.ID] = true
	}
	s.runs = append(s.runs, &run{req: q, missing: missing, read: q.prompt - missing, pace: pace})
	s.held[q.model].lastUse = now
}

// missing returns the tokens of a prompt that the server has not read for the same model.
func (s *server) missing(q *request) int {
	total := q.prompt
	for _, p := range q.parts {
		if !s.parts[q.model+"/"+p.ID] {
			break
		}
		total -= p.Tokens
	}
	return max(1, total)
}

// uses counts the requests that run on a model.
func (s *server) uses(model string) int {
	n := 0
	for _, r := range s.runs {
		if r.req.model == model {
			n++
		}
	}
	return n
}

// takes returns how long a model takes to load here.
func (s *server) takes(m *site.Model) time.Duration {
	if slices.Contains(s.onDisk, m.Name) {
		return m.FromDisk
	}
	return m.FromStore
}
