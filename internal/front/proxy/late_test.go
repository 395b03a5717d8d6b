package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
)

// outcomes counts the requests of a route, and their attempts by what became of them.
type outcomes struct{ requests, inTime, late, rejections int }

// overload sends requests to the routes in turn for a minute, 40 % more than the only server can read,
// after a time of little demand. Callers return at the retry time for 4 s.
func (r *harness) overload(fronts int, rejectsLate bool, paths ...string) map[string]*outcomes {
	r.state.Document.Services["llm"].HealthPath = "/health"
	r.state.Document.Routes[3].Priority, r.state.Document.Routes[3].ResponseGoal = 3, time.Duration(len(paths))*time.Second
	var proxies []*Server
	for i := range fronts {
		proxies = append(proxies, New(r.proxy.settings, r, r.proxy.pool, platform.Dialect{}, Helpers{Finder: r, Crashes: r, Pacer: r, Identities: r, Currency: r, Origins: r}, metrics.NewSet(), r.proxy.log))
		proxies[i].tracker.rejectsLate = rejectsLate
	}
	r.proxy = proxies[0]
	rnd, out := rand.New(rand.NewPCG(1, 1)), map[string]*outcomes{}
	for _, path := range paths {
		out[path] = &outcomes{}
	}
	var group conc.WaitGroup
	for i, began := 0, time.Now(); time.Since(began) < 80*time.Second; i++ {
		path, proxy, id, rate := paths[i%len(paths)], proxies[rnd.IntN(fronts)], fmt.Sprint("calm-", i), 1.5
		if time.Since(began) > 20*time.Second {
			id, rate = fmt.Sprint("id-", i), 1.4*4
			out[path].requests++
		}
		// A prompt takes 250 ms in the mean.
		header := http.Header{"Token-Counts": {fmt.Sprintf("%d,25", 3000+rnd.IntN(9000))}}
		group.Go(func() {
			code := http.StatusServiceUnavailable
			for began := time.Now(); time.Since(began) < 4*time.Second && code == http.StatusServiceUnavailable; {
				w, _ := r.serveBy(r.t.Context(), proxy, path, id, header)
				code = w.Code
				time.Sleep(platform.Dialect{}.DecodeRetryAfter(w.Header()))
			}
		})
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	// The server may still read the prompt of a caller that has left.
	time.Sleep(time.Second)
	for line := range strings.Lines(r.log.String()) {
		var m struct {
			Message, Request, Route string
			Status, FirstMs, GoalMs int
		}
		r.g.Expect(json.Unmarshal([]byte(line), &m)).To(Succeed())
		switch o := out[m.Route+"x"]; {
		case m.Message != "request" || !strings.HasPrefix(m.Request, "id-"):
		case m.Status == http.StatusServiceUnavailable:
			o.rejections++
		case m.Status == http.StatusOK && m.FirstMs <= m.GoalMs:
			o.inTime++
		default:
			o.late++
		}
	}
	return out
}

// TestOverloadedServerAnswersInTime guards against a server that answers nearly all requests late
// because it is asked for 1.4 times what it can read, against urgent requests that are served worse than
// others, and against changes where no server reports a slowdown.
func TestOverloadedServerAnswersInTime(t *testing.T) {
	urgent, other := "/resume/x", "/stream/x"
	waiting := fake.Faults{TokensPerMs: 30, SlowdownPercent: 100}
	running, unreported := waiting, waiting
	running.CountsUnreadAsRunning, unreported.SlowdownPercent = true, 0
	cases := []struct {
		name               string
		server             fake.Faults
		fronts             int
		paths              []string
		minInTime, maxLate float64 // shares of the first path's requests
	}{
		{"one front", waiting, 1, []string{other}, 0.7, 0.02},
		{"six fronts", waiting, 6, []string{other}, 0.6, 0.1},
		{"thirty fronts", waiting, 30, []string{other}, 0.5, 0.2},
		{"six fronts, unread prompts count as running", running, 6, []string{other}, 0.5, 0.3},
		{"urgent and less urgent, one front", waiting, 1, []string{urgent, other}, 0.9, 0.02},
		{"urgent and less urgent, six fronts", waiting, 6, []string{urgent, other}, 0.7, 0.1},
		{"no slowdown reported", unreported, 1, []string{other}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := func(rejectsLate bool) (out map[string]*outcomes) {
				withProxy(t, 1, func(r *harness) {
					r.setFaults(c.server)
					out = r.overload(c.fronts, rejectsLate, c.paths...)
				})
				return out
			}
			g, before, after := NewWithT(t), run(false), run(true)
			for _, path := range c.paths {
				t.Logf("%s without %+v with %+v", path, *before[path], *after[path])
				g.Expect(before[path].inTime).To(BeNumerically("<", before[path].requests/10))
			}
			first, last := after[c.paths[0]], after[c.paths[len(c.paths)-1]]
			g.Expect(first.inTime).To(BeNumerically(">=", max(c.minInTime*float64(first.requests), float64(last.inTime))))
			g.Expect(first.late).To(BeNumerically("<=", c.maxLate*float64(first.requests)))
			g.Expect(first.rejections > 0).To(Equal(c.server.SlowdownPercent > 0))
		})
	}
}

// TestRetryTimesAreMeasured guards against retry times whose error nobody can see.
func TestRetryTimesAreMeasured(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.setFaults(fake.Faults{TokensPerMs: 30, SlowdownPercent: 100})
		r.overload(1, true, "/stream/x")
		var meters bytes.Buffer
		r.proxy.meters.WritePrometheus(&meters)
		r.g.Expect(r.log.String()).To(MatchRegexp(`predicted to answer late","RetryAfter":0\.\d`))
		r.g.Expect(meters.String()).To(And(ContainSubstring(`error_seconds_count{direction="early"}`), ContainSubstring(`error_seconds_count{direction="late"}`)))
	})
}
