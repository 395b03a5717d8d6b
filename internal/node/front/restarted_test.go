package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// TestServersThatRestartWhileTheStoreIsAwayServeTheirModels guards against callers who are never
// served since no front learns of the servers that came back.
func TestServersThatRestartWhileTheStoreIsAwayServeTheirModels(t *testing.T) {
	const (
		servers = 4
		models  = 3
	)
	for _, c := range []struct {
		name string
		// id returns the ID of a server's second incarnation.
		id func(n int) string
		// takeover starts a plain service's server at the servers' addresses instead.
		takeover bool
		// engines is the number of services with engines.
		engines int
		// loaded tells that the second incarnations hold their models at once.
		loaded bool
		// underLoad tells that requests with a common prompt part are in flight at all servers as they crash.
		underLoad bool
		served    bool
	}{
		{"under new ids", func(n int) string { return fmt.Sprintf("new-%d", n) }, false, 1, false, false, true},
		{"under their ids", func(n int) string { return fmt.Sprintf("i-%d", n) }, false, 1, false, false, true},
		{"under new ids with models, two kinds of engines", func(n int) string { return fmt.Sprintf("new-%d", n) }, false, 2, true, false, true},
		{"under new ids, two kinds of engines", func(n int) string { return fmt.Sprintf("new-%d", n) }, false, 2, false, false, false},
		{"of another service", func(n int) string { return fmt.Sprintf("new-%d", n) }, true, 1, false, false, false},
		{"under new ids, their requests share a prompt part", func(n int) string { return fmt.Sprintf("new-%d", n) }, false, 1, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				r := &crashRig{harness: h, part: "none"}
				engine := func(service, prefix string) string {
					var list []string
					for m := range models {
						list = append(list, fmt.Sprintf(`{"name":"%s%d","weightsMb":70000,"loadS":1}`, prefix, m))
					}
					return fmt.Sprintf(`{"name":"%s","health":"/health","engine":{"slots":64,"weightsMb":220000,"adapterSlots":8,"loadsPerS":4,"models":[%s]}}`, service, strings.Join(list, ","))
				}
				services := []string{engine("llm", "m"), `{"name":"desk"}`, engine("other", "x")}[:c.engines+1]
				r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":15000,"responseGoalMs":1500,"service":"llm","attempts":2,"canResume":true,"gapTargetMs":400}],
"services":[`+strings.Join(services, ",")+`],"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`)
				start := func(n int, id, service string, born int64, held ...string) (stop func()) {
					address := fmt.Sprintf("10.0.3.%d:80", n)
					sizes := map[string]float64{}
					for m := range models {
						sizes[fmt.Sprintf("m%d", m)] = 70000
					}
					var s *fake.Server
					announce := func() {
						if born == 1 {
							r.writeKey(s.Key(), string(s.Announcement()))
						}
					}
					s = fake.NewServer(fake.Spec{
						ID: id, Born: born, Service: service, Address: address, Zone: "a", Slots: 64, EventTime: 20 * time.Millisecond,
						Sizes: sizes, WeightsMb: 220000, AdapterSlots: 8, LoadTime: 500 * time.Millisecond, ChecksFence: true,
					}, r.executions, announce, held...)
					if c.underLoad {
						s.SetFaults(fake.Faults{FirstByteDelay: 400 * time.Millisecond})
					}
					announce()
					return r.net.Serve(address, s)
				}
				held := func(n int) string { return fmt.Sprintf("m%d", n%models) }
				var stops []func()
				for n := range servers {
					stops = append(stops, start(n, fmt.Sprintf("i-%d", n), "llm", 1, held(n)))
				}
				fronts := []string{"front-1", "front-2", "front-3"}
				for _, f := range fronts {
					_, stop := r.start(f, "front-1:3", "front-2:3")
					defer stop()
				}
				time.Sleep(4 * time.Second)
				r.store.SetRejectStatus(http.StatusServiceUnavailable)
				time.Sleep(time.Second)
				if c.underLoad {
					for n := range 4 * servers {
						r.clients.Go(func() { r.requestModel(fronts[n%len(fronts)], fmt.Sprintf("crash-%d", n), held(n)) })
					}
					time.Sleep(100 * time.Millisecond)
				}
				for n := range servers {
					stops[n]()
				}
				time.Sleep(time.Second)
				for n := range servers {
					if c.takeover {
						defer r.net.Serve(fmt.Sprintf("10.0.3.%d:80", n), plainServer(c.id(n), func(id string) { t.Errorf("request %s of one service ran at another", id) }))()
						continue
					}
					var models []string
					if c.loaded {
						models = []string{held(n)}
					}
					defer start(n, c.id(n), "llm", 2, models...)()
				}
				backAt := time.Now()
				served := map[string]int{}
				for n := 0; time.Since(backAt) < recoveryTime+judgedTime; n++ {
					r.clients.Go(func() {
						model, sentAt := held(n), time.Now()
						if r.requestModel(fronts[n%len(fronts)], fmt.Sprintf("late-%d", n), model) && sentAt.Sub(backAt) > recoveryTime {
							r.mu.Lock()
							served[model]++
							r.mu.Unlock()
						}
					})
					time.Sleep(soundPause)
				}
				r.clients.Wait()
				if c.served {
					for m := range models {
						r.g.Expect(served[fmt.Sprintf("m%d", m)]).To(BeNumerically(">=", 10), "requests served for model m%d", m)
					}
				}
				r.store.SetRejectStatus(0)
			})
		})
	}
}

// plainServer is a server of a plain service, which runs each request with an ID that is meant for it or for no instance.
func plainServer(id string, ran func(id string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		expect, request := req.Header.Get("Expect-Instance"), req.Header.Get("Request-Id")
		switch {
		case expect != "" && expect != id:
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
		case req.URL.Path == "/health":
			w.Header().Set("Instance-Id", id)
		case request == "":
			w.WriteHeader(http.StatusBadRequest)
		default:
			ran(request)
			w.Header().Set("Request-Id", request)
			w.Header().Set("Server-Seal", "s")
		}
	})
}

// requestModel sends a request for a model and reports whether it was answered.
func (r *crashRig) requestModel(front, id, model string) bool {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+front+":1/resume/x", strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header = http.Header{"Request-Id": {id}, "Deadline-Milliseconds": {"3000"}, "Model": {model}, "Token-Counts": {"10,25"}, "Prompt-Prefix": {"root:10,own" + id + ":9"}}
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return err == nil && res.StatusCode == http.StatusOK
}

// TestPlannerThatRestartsWhileTheStoreIsAwayGoesOn guards against models that nobody loads for the
// rest of an outage since the planner's process was restarted.
func TestPlannerThatRestartsWhileTheStoreIsAwayGoesOn(t *testing.T) {
	withHarness(t, func(h *harness) {
		r := &crashRig{harness: h, part: "none"}
		r.writeKey(platform.DocumentKey, `{"version":1,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":15000,"responseGoalMs":1500,"service":"llm","attempts":2,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":64,"weightsMb":100000,"adapterSlots":8,"loadsPerS":4,"models":[{"name":"m0","weightsMb":70000,"loadS":1},{"name":"m1","weightsMb":70000,"loadS":1}]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`)
		var s *fake.Server
		announce := func() { r.writeKey(s.Key(), string(s.Announcement())) }
		s = fake.NewServer(fake.Spec{
			ID: "i-1", Born: 1, Service: "llm", Address: "10.0.4.1:80", Zone: "a", Slots: 64, EventTime: 20 * time.Millisecond,
			Sizes: map[string]float64{"m0": 70000, "m1": 70000}, WeightsMb: 100000, AdapterSlots: 8, LoadTime: 500 * time.Millisecond, ChecksFence: true,
		}, r.executions, announce, "m0")
		announce()
		r.net.Serve("10.0.4.1:80", s)
		fronts := []string{"front-1", "front-2", "front-3"}
		stops := map[string]func(){}
		start := func(name string) { _, stops[name] = r.start(name, "front-1:3", "front-2:3") }
		for _, f := range fronts {
			start(f)
			defer func() { stops[f]() }()
		}
		time.Sleep(4 * time.Second)
		r.store.SetRejectStatus(http.StatusServiceUnavailable)
		time.Sleep(3 * time.Second)
		for _, f := range fronts {
			stops[f]()
			time.Sleep(500 * time.Millisecond)
			start(f)
			time.Sleep(2 * time.Second)
		}
		served := 0
		for n := range 10 {
			if r.requestModel(fronts[n%3], fmt.Sprintf("m1-%d", n), "m1") {
				served++
			}
		}
		r.g.Expect(served).To(BeNumerically(">=", 8), "requests for a model that was not loaded")
		for _, o := range r.executions.Orders() {
			r.g.Expect(o.Holder).To(Equal(r.executions.Orders()[0].Holder))
		}
		r.store.SetRejectStatus(0)
		time.Sleep(10 * time.Second)
		r.g.Expect(r.requestModel("front-1", "m0-last", "m0")).To(BeTrue(), "the store is back")
	})
}
