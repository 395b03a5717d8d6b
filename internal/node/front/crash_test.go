package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// crashRig is three fronts before servers that crash under requests with one prompt part.
type crashRig struct {
	*harness
	part    string
	mu      sync.Mutex
	crashes []time.Time
	// sound are the results of the requests without the part: when they were sent, and whether they were answered.
	sound   []soundResult
	clients conc.WaitGroup
}

type soundResult struct {
	at       time.Time
	answered bool
}

const (
	crashServers = 8
	// crashOutage is how long a crashed server is away.
	crashOutage = 3 * time.Second
	// contact is the time within which the fronts of the rig must act together.
	contact = 3 * time.Second
	// playTime is how long requests are sent, and soundPause the time between two sound ones.
	playTime   = 25 * time.Second
	soundPause = 100 * time.Millisecond
)

// startCrashServer starts a server that crashes under requests with the part, and then starts anew.
func (r *crashRig) startCrashServer(n, born int) {
	address := fmt.Sprintf("10.0.1.%d:80", n)
	var stop func()
	var s *fake.Server
	write := func() { r.writeKey(s.Key(), string(s.Announcement())) }
	s = fake.NewServer(fake.Spec{
		ID: fmt.Sprintf("i-%d", n), Born: int64(born), Service: "llm", Address: address, Zone: "a", Slots: 8, EventTime: 50 * time.Millisecond,
		Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, ChecksFence: true,
		OnCrash: func() {
			r.mu.Lock()
			r.crashes = append(r.crashes, time.Now())
			r.mu.Unlock()
			r.clients.Go(func() {
				time.Sleep(crashOutage)
				r.startCrashServer(n, born+1)
			})
			stop()
		},
	}, r.executions, write, "m")
	s.SetFaults(fake.Faults{CrashPart: r.part})
	stop = r.net.Serve(address, s)
	write()
}

// request sends a request with prompt parts, and once more if it fails; it reports whether it was answered.
func (r *crashRig) request(front, id, parts string) bool {
	for try := range 2 {
		req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+front+":1/resume/x", strings.NewReader("x"))
		r.g.Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header = http.Header{"Request-Id": {fmt.Sprintf("%s-%d", id, try)}, "Deadline-Milliseconds": {"5000"}, "Model": {"m"}, "Token-Counts": {"10,25"}, "Prompt-Prefix": {parts + ",own" + id + ":9"}}
		res, err := r.client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// play sends requests with the crashing part and sound ones to all fronts in turn for playTime.
func (r *crashRig) play(prompt string, pause, start time.Duration, event func()) {
	soundPrompt := strings.ReplaceAll(strings.ReplaceAll(prompt, r.part+":20,", ""), ","+r.part+":20", "")
	fronts := []string{"front-1", "front-2", "front-3"}
	var requests conc.WaitGroup
	began := time.Now()
	requests.Go(func() {
		time.Sleep(start)
		for n := 0; time.Since(began) < playTime; n++ {
			requests.Go(func() { r.request(fronts[n%3], fmt.Sprintf("dead-%d", n), prompt) })
			time.Sleep(pause)
		}
	})
	requests.Go(func() {
		for n := 0; time.Since(began) < playTime; n++ {
			requests.Go(func() {
				at := time.Now()
				answered := r.request(fronts[n%3], fmt.Sprintf("sound-%d", n), soundPrompt)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.sound = append(r.sound, soundResult{at, answered})
			})
			time.Sleep(soundPause)
		}
	})
	time.Sleep(start + 4*time.Second)
	event()
	requests.Wait()
	r.clients.Wait()
}

// judge checks the bounds from the fifth crash on.
func (r *crashRig) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.g.Expect(r.crashes).NotTo(BeEmpty())
	last := r.crashes[min(len(r.crashes), 5)-1]
	late, answered, sent := 0, 0, 0
	for _, e := range r.executions.Executions() {
		if strings.HasPrefix(e.ID, r.part) && e.At.After(last.Add(contact)) {
			late++
		}
	}
	r.g.Expect(late).To(BeNumerically("<=", 3), "%d crashes", len(r.crashes))
	for _, s := range r.sound {
		if s.at.After(last.Add(2 * contact)) {
			sent++
			if s.answered {
				answered++
			}
		}
	}
	r.g.Expect(sent).To(BeNumerically(">=", 20))
	r.g.Expect(2*answered).To(BeNumerically(">=", sent), "sound requests answered of %d", sent)
}

// TestPromptPartThatCrashesInstancesIsBlocked lets a prompt part crash every server that
// begins to answer it. Three seconds after the fifth crash at most three more requests with
// it may reach servers, and requests that share its other parts are served.
func TestPromptPartThatCrashesInstancesIsBlocked(t *testing.T) {
	for _, c := range []struct {
		name string
		// prompt holds the crashing part, "dead"; sound prompts are the same without it.
		prompt string
		// pause is the time between two requests with the part, and start that of the first one.
		pause time.Duration
		start time.Duration
		// event happens four seconds after start; stopFront stops the first front.
		event func(r *crashRig, stopFront func())
		// storeAway tells that the store rejects calls from one second before start on.
		storeAway bool
	}{
		{"seldom", "root:100,mid:50,dead:20", 1500 * time.Millisecond, 4 * time.Second, nil, false},
		{"often", "root:100,mid:50,dead:20", 150 * time.Millisecond, 4 * time.Second, nil, false},
		{"from the first request on", "root:100,mid:50,dead:20", 300 * time.Millisecond, 0, nil, false},
		{"second part", "root:100,dead:20,mid:50", 400 * time.Millisecond, 4 * time.Second, nil, false},
		{"first part", "dead:20,root:100", 400 * time.Millisecond, 4 * time.Second, nil, false},
		{"a front restarts", "root:100,mid:50,dead:20", 400 * time.Millisecond, 4 * time.Second, func(r *crashRig, stopFront func()) {
			stopFront()
			_, stop := r.start("front-1", "front-2:3")
			r.clients.Go(func() {
				time.Sleep(playTime)
				stop()
			})
		}, false},
		{"store away", "root:100,mid:50,dead:20", 700 * time.Millisecond, 4 * time.Second, nil, true},
		{"store away, often", "root:100,mid:50,dead:20", 200 * time.Millisecond, 4 * time.Second, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				r := &crashRig{harness: h, part: "dead"}
				r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":5000,"responseGoalMs":800,"service":"llm","attempts":3,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":8,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m","weightsMb":70000,"loadS":1}]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`)
				for n := range crashServers {
					r.startCrashServer(n+1, 1)
				}
				var stopFront []func()
				for n := range 3 {
					_, stop := r.start(fmt.Sprintf("front-%d", n+1), "front-1:3", "front-2:3")
					stopFront = append(stopFront, sync.OnceFunc(stop))
				}
				for _, stop := range stopFront {
					defer stop()
				}
				time.Sleep(2 * time.Second)
				if c.storeAway {
					r.clients.Go(func() {
						time.Sleep(c.start - time.Second)
						r.store.SetRejectStatus(http.StatusServiceUnavailable)
					})
				}
				r.play(c.prompt, c.pause, c.start, func() {
					if c.event != nil {
						c.event(r, stopFront[0])
					}
				})
				r.judge()
			})
		})
	}
}
