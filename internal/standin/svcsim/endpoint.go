package svcsim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"foxtailcroft/internal/back/plain"
)

// Faults are the fault switches of the stand-in service.
type Faults struct {
	// Delay is how long a call takes.
	Delay time.Duration
	// LoseAnswers is the number of next calls that run but return an error.
	LoseAnswers int
	// Refuse makes calls fail before they are sent.
	Refuse bool
	// Hang withholds every answer after the call ran.
	Hang bool
}

// Endpoint is a stand-in service endpoint. It implements plain.Service. The endpoints
// of one service share a RunLog.
type Endpoint struct {
	name   string
	runLog *RunLog
	mu     sync.Mutex
	faults Faults
}

// RunLog counts the non-idempotent calls that ran, by body, over all endpoints of
// a service.
type RunLog struct {
	mu         sync.Mutex
	runsByBody map[string]int
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog {
	return &RunLog{runsByBody: map[string]int{}}
}

// Runs returns how often a non-idempotent call with the body ran; 0 if it never did.
func (b *RunLog) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByBody[body]
}

// RunsByBody returns a copy of the number of runs of each body.
func (b *RunLog) RunsByBody() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.runsByBody {
		out[k] = v
	}
	return out
}

// record counts a run of a call with the body and returns the number of distinct bodies.
func (b *RunLog) record(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runsByBody[body]++
	return len(b.runsByBody)
}

// New returns an endpoint of the named service that records its calls in runLog.
func New(name string, runLog *RunLog) *Endpoint {
	return &Endpoint{name: name, runLog: runLog}
}

// SetFaults replaces the fault switches.
func (s *Endpoint) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Do runs a call: GET and HEAD return the number of recorded bodies, other methods
// record the body.
func (s *Endpoint) Do(ctx context.Context, c plain.Call) (plain.Answer, error) {
	s.mu.Lock()
	f := s.faults
	loseAnswer := f.LoseAnswers > 0
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if f.Refuse {
		return plain.Answer{}, &plain.NotSent{Err: errors.New("connection refused by fault switch Refuse")}
	}
	result := s.execute(c)
	var answerDue <-chan time.Time
	if !f.Hang {
		answerDue = time.After(f.Delay)
	}
	select {
	case <-answerDue:
	case <-ctx.Done():
		return plain.Answer{}, &plain.LostResponse{Err: ctx.Err()}
	}
	if loseAnswer {
		return plain.Answer{}, &plain.LostResponse{Err: errors.New("answer lost by fault switch LoseAnswers")}
	}
	return result, nil
}

func (s *Endpoint) execute(c plain.Call) plain.Answer {
	out := struct {
		Service string
		Path    string
		Entries int
	}{Service: s.name, Path: c.Path}
	status := http.StatusOK
	if c.Method != http.MethodGet && c.Method != http.MethodHead {
		out.Entries = s.runLog.record(string(c.Body))
		status = http.StatusCreated
	} else {
		out.Entries = len(s.runLog.RunsByBody())
	}
	body, err := json.Marshal(out)
	if err != nil {
		return plain.Answer{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return plain.Answer{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

// Handler returns the HTTP interface: the service itself, /stats and /faults.
func (s *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		// A write error means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(s.runLog.RunsByBody())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := s.Do(r.Context(), plain.Call{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for k, v := range answer.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Status)
		// A write error means that the caller has disconnected.
		_, _ = fmt.Fprintf(w, "%s", answer.Body)
	})
	return mux
}

var _ plain.Service = (*Endpoint)(nil)
