package shop

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

// Faults are the switches of the stand-in service.
type Faults struct {
	// Delay is how long a call takes.
	Delay time.Duration
	// LoseAnswers makes that many calls run and then fail.
	LoseAnswers int
	// Refuse makes calls fail before they leave.
	Refuse bool
	// Hang holds back every answer after the call ran.
	Hang bool
}

// Shop counts the runs of each call by its body; it implements plain.Service.
// Shops of one service share one book.
type Shop struct {
	name   string
	book   *Book
	mu     sync.Mutex
	faults Faults
}

// Book records the calls that ran, over all endpoints of a service.
type Book struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{runs: map[string]int{}}
}

// Runs returns how often a non-idempotent call with the body ran.
func (b *Book) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// All returns the runs of every body.
func (b *Book) All() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.runs {
		out[k] = v
	}
	return out
}

func (b *Book) run(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[body]++
	return len(b.runs)
}

// New returns a service endpoint that writes into the book.
func New(name string, book *Book) *Shop {
	return &Shop{name: name, book: book}
}

// SetFaults replaces the fault switches.
func (s *Shop) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Do runs a call: GET reads the number of entries, other methods write one.
func (s *Shop) Do(ctx context.Context, c plain.Call) (plain.Answer, error) {
	s.mu.Lock()
	f := s.faults
	lose := f.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if f.Refuse {
		return plain.Answer{}, &plain.NotSent{Err: errors.New("refused")}
	}
	answer := s.run(c)
	var hold <-chan time.Time
	if !f.Hang {
		hold = time.After(f.Delay)
	}
	select {
	case <-hold:
	case <-ctx.Done():
		return plain.Answer{}, &plain.Lost{Err: ctx.Err()}
	}
	if lose {
		return plain.Answer{}, &plain.Lost{Err: errors.New("answer lost")}
	}
	return answer, nil
}

func (s *Shop) run(c plain.Call) plain.Answer {
	out := struct {
		Service string
		Path    string
		Entries int
	}{Service: s.name, Path: c.Path}
	status := http.StatusOK
	if c.Method != http.MethodGet && c.Method != http.MethodHead {
		out.Entries = s.book.run(string(c.Body))
		status = http.StatusCreated
	} else {
		out.Entries = len(s.book.All())
	}
	body, err := json.Marshal(out)
	if err != nil {
		return plain.Answer{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return plain.Answer{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

// Handler serves the service, /stats and /faults over HTTP.
func (s *Shop) Handler() http.Handler {
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
		// A caller that has gone does not read the answer.
		_ = json.NewEncoder(w).Encode(s.book.All())
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
		// A caller that has gone does not read the answer.
		_, _ = fmt.Fprintf(w, "%s", answer.Body)
	})
	return mux
}

var _ plain.Service = (*Shop)(nil)
