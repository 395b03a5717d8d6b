package front

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/platform/fake"
)

// limitRig is some fronts before servers that name limits.
type limitRig struct {
	*harness
	servers []*fake.Server
	fronts  []string
	stop    []func()
	mu      sync.Mutex
	results []limitedResult
}

type limitedResult struct {
	status int
	// took is the time until the answer or refusal, retryAfter its Retry-After header.
	took       time.Duration
	retryAfter string
}

// startFronts starts n fronts; each is a seed of the others.
func (r *limitRig) startFronts(n int) {
	for i := range n {
		name := fmt.Sprintf("front-%d", i+1)
		_, stop := r.start(name, "front-1:3", "front-2:3")
		r.fronts, r.stop = append(r.fronts, name), append(r.stop, sync.OnceFunc(stop))
	}
}

// startServers starts servers with the model, n in all.
func (r *limitRig) startServers(n int) {
	for i := range n {
		var s *fake.Server
		write := func() { r.writeKey(s.Key(), string(s.Announcement())) }
		address := fmt.Sprintf("10.0.2.%d:80", i+1)
		s = fake.NewServer(fake.Spec{
			ID: fmt.Sprintf("i-%d", i+1), Born: 1, Service: "llm", Address: address, Zone: "a", Slots: 16, EventTime: 20 * time.Millisecond,
			Sizes: map[string]float64{"m": 70000}, WeightsMb: 220000, AdapterSlots: 8, ChecksFence: true,
		}, r.executions, write, "m")
		r.net.Serve(address, s)
		write()
		r.servers = append(r.servers, s)
	}
}

// setLimits makes the first n servers name a limit, 0 for none.
func (r *limitRig) setLimits(n int, perSecond float64) {
	for _, s := range r.servers[:n] {
		s.SetFaults(fake.Faults{Limit: perSecond})
	}
}

// request sends one request to a front.
func (r *limitRig) request(front, id string) {
	began := time.Now()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+front+":1/stream/x", strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header = http.Header{"Request-Id": {id}, "Deadline-Milliseconds": {"8000"}, "Model": {"m"}, "Token-Counts": {"10,25"}}
	result := limitedResult{}
	if res, err := r.client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		result.status, result.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		r.g.Expect(err).NotTo(HaveOccurred())
	}
	result.took = time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// play sends requests at a mean rate to drawn fronts for a time.
func (r *limitRig) play(perSecond float64, length time.Duration, fronts ...string) {
	draws := rand.New(rand.NewPCG(1, 7))
	var requests conc.WaitGroup
	for n, began := 0, time.Now(); time.Since(began) < length; n++ {
		front := fronts[draws.IntN(len(fronts))]
		requests.Go(func() { r.request(front, fmt.Sprintf("%s-%d-%d", front, n, began.UnixMilli())) })
		time.Sleep(time.Duration(draws.ExpFloat64() / perSecond * float64(time.Second)))
	}
	requests.Wait()
}

// mostIn returns the most requests that a server got in any window after a time.
func (r *limitRig) mostIn(server string, window time.Duration, after time.Time) int {
	var times []time.Time
	for _, e := range r.executions.Executions() {
		if e.Server == server && e.At.After(after) {
			times = append(times, e.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestFrontsTogetherKeepToInstanceLimits lets servers name limits. From three seconds after
// that on, a server may get in four seconds one and a half times what it takes, and five
// more, from all fronts; requests are served as far as the other servers and the limits allow.
func TestFrontsTogetherKeepToInstanceLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		// limited of the three servers take perSecond requests a second; rate is that of all requests.
		limited         int
		perSecond, rate float64
		fronts          int
		// event happens in the middle.
		event func(*limitRig)
		// answered is the least percentage of requests that are answered.
		answered int
	}{
		{"two of three servers", 2, 1.5, 12, 3, nil, 100},
		{"low limit and many fronts", 2, 0.4, 12, 8, nil, 100},
		{"all servers, enough for all requests", 3, 5, 10, 3, nil, 100},
		{"all servers, enough for half of the requests", 3, 2, 12, 3, nil, 40},
		{"a front is lost", 3, 3, 6, 4, func(r *limitRig) {
			r.fronts = r.fronts[:3]
			r.stop[3]()
		}, 90},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				r := &limitRig{harness: h}
				r.configure(1, "plain")
				r.startServers(3)
				r.startFronts(c.fronts)
				for _, stop := range r.stop {
					defer stop()
				}
				time.Sleep(2 * time.Second)
				r.play(c.rate, 2*time.Second, r.fronts...)
				named := time.Now()
				r.setLimits(c.limited, c.perSecond)
				r.play(c.rate, 10*time.Second, r.fronts...)
				if c.event != nil {
					c.event(r)
				}
				r.play(c.rate, 10*time.Second, r.fronts...)
				for i := range c.limited {
					r.g.Expect(float64(r.mostIn(fmt.Sprintf("i-%d", i+1), 4*time.Second, named.Add(3*time.Second)))).To(
						BeNumerically("<=", 1.5*4*c.perSecond+5), "server %d", i+1)
				}
				answered := 0
				for _, x := range r.results {
					if x.status == http.StatusOK {
						answered++
						continue
					}
					r.g.Expect(x.status).To(Equal(http.StatusServiceUnavailable))
					r.g.Expect(x.retryAfter).NotTo(BeEmpty())
				}
				r.g.Expect(100*answered).To(BeNumerically(">=", c.answered*len(r.results)), "%d of %d answered", answered, len(r.results))
			})
		})
	}
}

func TestLiftedInstanceLimitIsForgotten(t *testing.T) {
	withHarness(t, func(h *harness) {
		r := &limitRig{harness: h}
		r.configure(1, "plain")
		r.startServers(1)
		r.startFronts(2)
		for _, stop := range r.stop {
			defer stop()
		}
		time.Sleep(2 * time.Second)
		r.setLimits(1, 0.5)
		r.play(4, 4*time.Second, r.fronts...)
		r.setLimits(1, 0)
		r.play(4, 4*time.Second, r.fronts...)
		r.results = nil
		r.play(10, 4*time.Second, r.fronts...)
		for _, x := range r.results {
			r.g.Expect(x.status).To(Equal(http.StatusOK))
			r.g.Expect(x.took).To(BeNumerically("<", 300*time.Millisecond))
		}
	})
}
