package front

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

const (
	// outageServers is the number of servers that crash together.
	outageServers = 4
	// outageTime is how long a crashed server is away, and lapseTime is after how long its entry is removed.
	outageTime = 4500 * time.Millisecond
	lapseTime  = 3600 * time.Millisecond
	// recoveryTime is the time after which requests must be served again.
	recoveryTime = 12 * time.Second
	// calmTime is how long requests are sent before the first crash, and judgedTime how long after recoveryTime.
	calmTime   = 8 * time.Second
	judgedTime = 10 * time.Second
)

// outageRig is fronts before servers that the test crashes.
type outageRig struct {
	crashRig
	// incarnations counts the starts of servers.
	incarnations int
	// stops end the servers that run.
	stops []func()
}

// startServer starts a server under a new id with the given models loaded.
func (r *outageRig) startServer(models ...string) {
	r.incarnations++
	n := r.incarnations
	address := fmt.Sprintf("10.0.2.%d:80", n)
	var s *fake.Server
	var mu sync.Mutex
	down := false
	write := func() {
		mu.Lock()
		defer mu.Unlock()
		if !down {
			r.writeKey(s.Key(), string(s.Announcement()))
		}
	}
	s = fake.NewServer(fake.Spec{
		ID: fmt.Sprintf("i-%d", n), Born: int64(n), Service: "llm", Address: address, Zone: "a", Slots: 64, EventTime: 20 * time.Millisecond,
		Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, LoadTime: 500 * time.Millisecond, ChecksFence: true,
	}, r.executions, write, models...)
	s.SetFaults(fake.Faults{FirstByteDelay: 400 * time.Millisecond})
	stop := r.net.Serve(address, s)
	write()
	r.stops = append(r.stops, func() {
		mu.Lock()
		down = true
		mu.Unlock()
		stop()
		r.clients.Go(func() {
			time.Sleep(lapseTime)
			r.deleteKey(s.Key())
		})
	})
}

// crashServers crashes the servers that run, one every pause, and starts as many new ones that hold nothing.
func (r *outageRig) crashServers(pause time.Duration) {
	stops := r.stops
	r.stops = nil
	for _, stop := range stops {
		stop()
		time.Sleep(pause)
	}
	time.Sleep(outageTime)
	for range stops {
		r.startServer()
	}
}

// TestServersCrashingTogetherDoNotBlockTheirCommonPromptPart lets all servers crash for a
// reason of their own: prompt parts that all requests share must not stay blocked.
func TestServersCrashingTogetherDoNotBlockTheirCommonPromptPart(t *testing.T) {
	for _, c := range []struct {
		name   string
		prompt string
		// pause is the time between the crashes of two servers, and outages the number of outages.
		pause   time.Duration
		outages int
		// restartAfter is the time from the first crash until the fronts restart, 0 if they don't.
		restartAfter time.Duration
		// storeAway tells that the store rejects calls from the first crash until the servers are back.
		storeAway bool
	}{
		{"at once", "root:100", 0, 1, 0, false},
		{"one after the other", "root:100", 700 * time.Millisecond, 1, 0, false},
		{"several shared parts", "root:100,mid:50,leaf:20", 0, 1, 0, false},
		{"twice", "root:100", 0, 2, 0, false},
		{"fronts restart meanwhile", "root:100", 0, 1, time.Second, false},
		{"fronts restart as the first trial is due", "root:100", 0, 1, 3500 * time.Millisecond, false},
		{"fronts restart as the servers are back", "root:100", 0, 1, 4700 * time.Millisecond, false},
		{"one after the other, fronts restart", "root:100,mid:50", 300 * time.Millisecond, 1, time.Second, false},
		{"store away", "root:100", 0, 1, 0, true},
		{"store away, fronts restart", "root:100,mid:50", 0, 1, time.Second, true},
		{"twice, store away, fronts restart", "root:100,mid:50", 100 * time.Millisecond, 2, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				r := &outageRig{crashRig: crashRig{harness: h, part: "none"}}
				r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":15000,"responseGoalMs":1500,"service":"llm","attempts":2,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":64,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[{"name":"m","weightsMb":70000,"loadS":1}]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`)
				for range outageServers {
					r.startServer("m")
				}
				stops := map[string]func(){}
				start := func(name string) { _, stops[name] = r.start(name, "front-1:3", "front-2:3") }
				fronts := []string{"front-1", "front-2", "front-3"}
				for _, f := range fronts {
					start(f)
					defer func() { stops[f]() }()
				}
				time.Sleep(2 * time.Second)
				ended := make(chan struct{})
				// restarting holds a value during a restart, as that of the first outage may last until the second one's begins.
				restarting := make(chan struct{}, 1)
				var backAt time.Time
				r.clients.Go(func() {
					time.Sleep(calmTime)
					for range c.outages {
						if c.storeAway {
							r.store.SetRejectStatus(http.StatusServiceUnavailable)
						}
						if c.restartAfter > 0 {
							r.clients.Go(func() {
								time.Sleep(c.restartAfter)
								restarting <- struct{}{}
								defer func() { <-restarting }()
								for _, f := range fronts {
									stops[f]()
								}
								time.Sleep(time.Second)
								for _, f := range fronts {
									start(f)
								}
							})
						}
						r.crashServers(c.pause)
						time.Sleep(time.Second)
						r.store.SetRejectStatus(0)
					}
					backAt = time.Now()
					time.Sleep(recoveryTime + judgedTime)
					close(ended)
				})
				r.sendSound(fronts, c.prompt, ended)
				r.judgeRecovery(backAt)
			})
		})
	}
}

// sendSound sends sound requests to the fronts in turn until the channel is closed.
func (r *outageRig) sendSound(fronts []string, prompt string, ended <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			r.clients.Wait()
			return
		default:
		}
		r.clients.Go(func() {
			at := time.Now()
			answered := r.request(fronts[n%len(fronts)], fmt.Sprintf("sound-%d", n), prompt)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sound = append(r.sound, soundResult{at, answered})
		})
		time.Sleep(soundPause)
	}
}

// judgeRecovery checks that a quarter of the requests or more are served once the servers have been back for recoveryTime.
func (r *outageRig) judgeRecovery(backAt time.Time) {
	answered, sent := 0, 0
	for _, s := range r.sound {
		if s.at.After(backAt.Add(recoveryTime)) {
			sent++
			if s.answered {
				answered++
			}
		}
	}
	r.g.Expect(sent).To(BeNumerically(">=", 20))
	r.g.Expect(4*answered).To(BeNumerically(">=", sent), "requests answered of %d", sent)
}
