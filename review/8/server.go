//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxtailcroft/review/rig2"
)

// modelServer is a model server that follows the pages for models without adapters.
type modelServer struct {
	id, address string
	born        int64
	rig         *rig2.Rig
	lateness    *lateness

	mu sync.Mutex
	// models are those that it holds, also one that is being unloaded; loading is the one that it loads.
	models   map[string]bool
	loading  string
	leaving  string
	sequence int64
	runs     map[string]int
	past     []pastReport
	crashed  bool
}

type pastReport struct {
	from time.Time
	body map[string]any
}

// lateness chooses the orders that are left unanswered and carried out late: the unload of one model at
// one server, and the first load there after an unload that held already.
type lateness struct {
	active, ended                      atomic.Bool
	late, accepted, answered, breaches atomic.Int64

	mu     sync.Mutex
	server string
	model  string
	phase  int
	// left tells of the first order that is left unanswered, and held of the unload that held already.
	left, held chan struct{}
}

// choose returns after which time an order is carried out; false if it is answered at once.
func (l *lateness) choose(server string, o order) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.active.Load() || server != l.server:
	case l.phase == 0 && o.Operation == "unload" && o.Model == l.model:
		l.phase = 1
		close(l.left)
		return firstLateBy, true
	case l.phase == 2 && o.Operation == "load":
		l.phase = 3
		return secondLateBy, true
	}
	return 0, false
}

// heldAlready records that an unload held already.
func (l *lateness) heldAlready(server string, o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == 1 && server == l.server && o.Operation == "unload" && o.Model == l.model {
		l.phase = 2
		close(l.held)
	}
}

const (
	// reportLag is how old a report's values are: "as of some hundred ms ago".
	reportLag = 200 * time.Millisecond
	// eventTokens is the number of tokens in an event.
	eventTokens = 5
	// loadTime and unloadTime are how long an order takes; an unload also waits for its runs.
	loadTime   = 500 * time.Millisecond
	unloadTime = 20 * time.Millisecond
	eventTime  = 40 * time.Millisecond
	// firstLateBy and secondLateBy are within the 2 to 12 s of late orders.
	firstLateBy  = 2500 * time.Millisecond
	secondLateBy = 9 * time.Second
)

func (s *modelServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
	case "/api/report":
		s.mu.Lock()
		s.keepReport()
		data, _ := json.Marshal(s.past[0].body)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	case "/api/order":
		s.order(w, q)
	default:
		s.request(w, q)
	}
}

// keepReport keeps the current report and drops those that are older than reportLag, but for the newest of them.
func (s *modelServer) keepReport() {
	now := time.Now()
	s.past = append(s.past, pastReport{now, map[string]any{
		"stage": "both", "models": s.listed(), "busy": s.loading != "" || s.leaving != "", "sequence": s.sequence, "waiting": 0, "running": s.running(),
		"kvUsedTokens": 0, "kvTotalTokens": 242112, "handles": 0, "born": s.born,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": allModels()},
	}})
	for len(s.past) > 1 && now.Sub(s.past[1].from) >= reportLag {
		s.past = s.past[1:]
	}
}

func (s *modelServer) running() int {
	n := 0
	for _, x := range s.runs {
		n += x
	}
	return n
}

type listedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *modelServer) listed() []listedModel {
	out := []listedModel{}
	for m := range s.models {
		out = append(out, listedModel{m, 1, []string{}})
	}
	slices.SortFunc(out, func(a, b listedModel) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// announce writes the server's entry to the store.
func (s *modelServer) announce() {
	s.mu.Lock()
	data, _ := json.Marshal(map[string]any{
		"service": "llm", "address": s.address, "zone": "z-a", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"sequence": s.sequence, "born": s.born, "models": s.listed(),
	})
	s.mu.Unlock()
	_ = s.rig.Write("servers/"+s.id, data)
}

type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Precondition *int64 `json:"precondition"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
}

func (s *modelServer) order(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(q.Body)
	var o order
	if err != nil || json.Unmarshal(data, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l := s.lateness
	if after, late := l.choose(s.id, o); late {
		l.late.Add(1)
		s.rig.Note("%s: order %s left unanswered, to be carried out after %d ms", s.id, data, after.Milliseconds())
		time.AfterFunc(after, func() {
			if !l.ended.Load() {
				s.rig.Note("%s: late order %s carried out: %d", s.id, data, s.execute(o))
			}
		})
		<-q.Context().Done()
		return
	}
	status := s.execute(o)
	l.answered.Add(1)
	s.rig.Note("%s: order %s answered %d", s.id, data, status)
	if status == http.StatusOK {
		l.heldAlready(s.id, o)
	}
	w.WriteHeader(status)
}

// execute carries out an order and returns its status.
func (s *modelServer) execute(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.crashed, s.loading != "" || s.leaving != "", o.Precondition != nil && *o.Precondition != s.sequence:
		return http.StatusConflict
	case s.models[o.Model] == (o.Operation == "load"):
		// It holds already.
		return http.StatusOK
	}
	s.sequence++
	s.lateness.accepted.Add(1)
	if o.Operation == "load" {
		if (len(s.models)+1)*modelMb > weightsMb {
			s.lateness.breaches.Add(1)
			s.crashed = true
			s.rig.Note("BREACH: %s is ordered to load %s of %d MB beside %v of %d MB each, and has room for %d MB; it crashes with %d requests", s.id, o.Model, modelMb, s.listed(), modelMb, weightsMb, s.running())
			return http.StatusAccepted
		}
		s.loading = o.Model
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			s.models[s.loading], s.loading = true, ""
			s.mu.Unlock()
			s.announce()
		})
		return http.StatusAccepted
	}
	s.leaving = o.Model
	time.AfterFunc(unloadTime, s.finishUnload)
	return http.StatusAccepted
}

// finishUnload drops the model once its runs have ended.
func (s *modelServer) finishUnload() {
	s.mu.Lock()
	if s.runs[s.leaving] > 0 {
		s.mu.Unlock()
		time.AfterFunc(unloadTime, s.finishUnload)
		return
	}
	delete(s.models, s.leaving)
	s.leaving = ""
	s.mu.Unlock()
	s.announce()
}

func (s *modelServer) request(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	model := q.Header.Get("Model")
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	s.mu.Lock()
	held, leaving := s.models[model], s.leaving == model
	if held && !leaving {
		s.runs[model]++
	}
	load := fmt.Sprintf("%d,0,64", s.running())
	s.mu.Unlock()
	w.Header().Set("Server-Load", load)
	switch {
	case !held:
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case leaving:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.runs[model]--
		s.mu.Unlock()
	}()
	w.Header().Set("Server-Seal", "seal."+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(q.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(out)
	for n := 1; n <= tokens/eventTokens; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventTime):
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
