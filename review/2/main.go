//go:build review

// Case 2: after model servers have crashed together, fronts refuse all requests that share a prompt part.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"foxtailcroft/platform/fake"
	"foxtailcroft/review/rig"
)

const (
	serverCount  = 4
	requestsPerS = 20
	deadline     = 15 * time.Second
	// calm is the time before the crash.
	calm = 12 * time.Second
	// down is how long the crashed servers are down.
	down = 4500 * time.Millisecond
	// killAfter is the time from the crash until the final fault, and restartAfter that until the restart.
	killAfter    = time.Second
	restartAfter = time.Second
	// recovery is recoveryS of the settings; watched is the time for which requests are judged after it.
	recovery = 12 * time.Second
	watched  = 15 * time.Second
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// modelServer is one incarnation of a model server.
type modelServer struct {
	fake *fake.Server
	http *http.Server
	rig  *rig.Rig
	mu   sync.Mutex
	down bool
}

func start(r *rig.Rig, id string, log *fake.ExecutionLog, models ...string) (*modelServer, error) {
	lis, err := r.Listen()
	if err != nil {
		return nil, err
	}
	s := &modelServer{rig: r}
	s.fake = fake.NewServer(fake.Spec{
		ID: id, Born: time.Now().UnixMilli(), Service: "prism-llm", Address: lis.Addr().String(), Zone: "sapporo-a", Slots: 64,
		Sizes: map[string]float64{"m0": 65100}, WeightsMb: 220000, AdapterSlots: 8, LoadTime: 500 * time.Millisecond, AdapterTime: 5 * time.Millisecond,
		EventTime: 20 * time.Millisecond, ChecksFence: true, AdapterSizeMb: 12,
	}, log, s.announce, models...)
	s.fake.SetFaults(fake.Faults{FirstByteDelay: 400 * time.Millisecond})
	s.http = &http.Server{Handler: s.fake}
	go func() { _ = s.http.Serve(lis) }()
	s.announce()
	r.Logf("%s: announced, holds %v", id, models)
	return s, nil
}

// announce writes the server's entry.
func (s *modelServer) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.rig.WriteRaw(s.fake.Key(), s.fake.Announcement())
	}
}

// crash closes the server's port and connections. Its entry lapses after three heartbeat intervals.
func (s *modelServer) crash() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	_ = s.http.Close()
	time.AfterFunc(3600*time.Millisecond, func() { s.rig.WriteRaw(s.fake.Key(), nil) })
}

func run() (int, error) {
	r, err := rig.New("review/2")
	if err != nil {
		return rig.ExitNotRun, err
	}
	defer r.Close()
	// WITHOUT names a part of the disruption that is left out: crash, kill or sharing.
	without := os.Getenv("WITHOUT")
	if err := r.WriteDocument(3, []map[string]any{
		rig.Route("chat", "streaming", "prism-llm", 15000, 2, map[string]any{"canResume": true, "sticky": true, "gapTargetMs": 400, "responseGoalMs": 1500}),
	}, []map[string]any{{"name": "prism-llm", "health": "/health", "connectionLimit": 370, "engine": map[string]any{
		"slots": 64, "kvCapacityTokens": 243171, "weightsMb": 220000, "adapterSlots": 8, "loadsPerS": 2.1,
		"models": []map[string]any{{"name": "m0", "weightsMb": 65100, "loadS": 0.5, "warmS": 0.38, "diskS": 0.4, "adapters": 0, "adapterMb": 12}},
	}}}); err != nil {
		return rig.ExitNotRun, err
	}
	log := &fake.ExecutionLog{}
	var servers []*modelServer
	for i := range serverCount {
		s, err := start(r, fmt.Sprintf("i-llm%d", i+1), log, "m0")
		if err != nil {
			return rig.ExitNotRun, err
		}
		servers = append(servers, s)
	}
	if err := r.AddFronts(3); err != nil {
		return rig.ExitNotRun, err
	}
	if err := r.StartFronts(); err != nil {
		return rig.ExitNotRun, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	answers := make(chan []rig.Answer, 1)
	go func() { answers <- load(ctx, r, without != "sharing") }()
	time.Sleep(calm)
	began := time.Now()
	if r.Trouble && without != "crash" {
		r.Logf("all model servers of the zone crash")
		for _, s := range servers {
			s.crash()
		}
	}
	time.Sleep(killAfter)
	final := time.Now()
	if r.Trouble && without != "kill" {
		for _, f := range r.Fronts {
			f.Kill()
		}
	}
	time.Sleep(restartAfter)
	if r.Trouble && without != "kill" {
		for _, f := range r.Fronts {
			if err := f.Start(); err != nil {
				return rig.ExitNotRun, err
			}
		}
	}
	time.Sleep(time.Until(began.Add(down)))
	if r.Trouble && without != "crash" {
		for i := range serverCount {
			// The new incarnations come without models in memory.
			if _, err := start(r, fmt.Sprintf("i-llm%d", serverCount+i+1), log); err != nil {
				return rig.ExitNotRun, err
			}
		}
	}
	if err := r.WaitReady(10 * time.Second); err != nil {
		return rig.ExitNotRun, err
	}
	back := time.Now()
	time.Sleep(recovery + watched)
	stop()
	return judge(r, <-answers, final, back.Add(recovery)), nil
}

// load sends chats at random moments, on all fronts in turn, and waits for their ends.
func load(ctx context.Context, r *rig.Rig, shared bool) []rig.Answer {
	var mu sync.Mutex
	var answers []rig.Answer
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / requestsPerS * float64(time.Second)))
		f := r.Fronts[i%len(r.Fronts)]
		system := "a11ce"
		if !shared {
			system = fmt.Sprintf("a11ce%x", i)
		}
		group.Add(1)
		go func() {
			defer group.Done()
			a := f.Send("POST", "/chat/x", "how do I hang a pendalogue", deadline, map[string]string{
				"Model": "m0", "Token-Counts": "826,100", "Prompt-Prefix": fmt.Sprintf("%s:198,%x:628", system, 0xbeef0000+i),
			})
			r.LogAt(a.SentAt, "client: sends chat %s to %s", a.ID, f.Name)
			r.LogAt(a.EndAt, "client: chat %s is answered %d %v %s", a.ID, a.Status, a.Err, reason(a))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
	group.Wait()
	return answers
}

func reason(a rig.Answer) string {
	if a.Status == http.StatusOK {
		return ""
	}
	return a.Body
}

func judge(r *rig.Rig, answers []rig.Answer, final, from time.Time) int {
	var before, servedBefore, after, servedAfter int
	reasons := map[string]int{}
	for _, a := range answers {
		served := a.Status == http.StatusOK && strings.Count(a.Body, "id: ") == 20
		switch {
		case a.SentAt.Before(final):
			before++
			if served {
				servedBefore++
			}
		case a.SentAt.After(from):
			after++
			if served {
				servedAfter++
			} else {
				reasons[fmt.Sprint(a.Status, " ", a.Body)]++
			}
		}
	}
	text := fmt.Sprintf("before the final fault %d of %d requests were served; later than recoveryS after all is back %d of %d; the others got %v", servedBefore, before, servedAfter, after, reasons)
	r.Logf("result: %s", text)
	fmt.Println(text)
	switch {
	case before == 0 || after == 0 || 4*servedBefore < before:
		return rig.ExitNotRun
	case 4*servedAfter < after:
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
