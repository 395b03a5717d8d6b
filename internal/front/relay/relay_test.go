package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/platform"
	"foxtailcroft/platform/mimic"
	"foxtailcroft/test/pipes"
)

// rig is a relay before servers in one synctest bubble.
type rig struct {
	t       *testing.T
	g       *WithT
	net     *pipes.Network
	ends    map[string]func()
	book    *mimic.Book
	relay   *Server
	servers []*mimic.Server
	state   *follow.State
	asked   int
	log     *bytes.Buffer
	group   conc.WaitGroup
}

func (r *rig) State() *follow.State { return r.state }

func (r *rig) Want(context.Context, peers.Want) (peers.Found, error) {
	r.asked++
	return peers.Found{Reason: "nowhere", ReadyIn: 2 * time.Second}, nil
}

// play runs a test against n servers that hold model m; routes are below /safe/, /unsafe/, /resume/ and /stream/.
func play(t *testing.T, n int, test func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, g: NewWithT(t), net: pipes.New(), ends: map[string]func(){}, book: &mimic.Book{}, log: &bytes.Buffer{}}
		route := func(prefix string, kind site.Kind, attempts int, resumable bool, service string) site.Route {
			return site.Route{
				Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Attempts: attempts, Resumable: resumable,
				Timeout: 5 * time.Second, Goal: time.Second, Shares: []site.Share{{Service: service, Weight: 1}},
			}
		}
		r.state = &follow.State{
			Revision: 5, Instances: map[string]site.Instance{},
			Document: &site.Document{
				Version: 3, Limits: site.Limits{BodyBytes: 1 << 10},
				Services: map[string]*site.Service{"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &site.Engine{Models: []site.Model{{Name: "m"}}}}},
				Routes: []site.Route{
					route("/safe/", site.Safe, 2, false, "plain"), route("/unsafe/", site.Unsafe, 1, false, "plain"),
					route("/resume/", site.Streaming, 2, true, "llm"), route("/stream/", site.Streaming, 1, false, "llm"),
				},
			},
		}
		for i := range n {
			for _, service := range []string{"plain", "llm"} {
				r.serve(service, i)
			}
		}
		pool, closePool := conns.New(r.net.Dial, metrics.NewSet())
		log, err := logs.New(r.log, "info", "f")
		r.g.Expect(err).NotTo(HaveOccurred())
		set := conf.Front{Node: conf.Node{Name: "f"}, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58}}
		r.relay = New(set, r, pool, platform.Dialect{}, r, metrics.NewSet(), log.Sugar())
		defer r.group.Wait()
		defer r.net.Close()
		defer closePool()
		test(r)
	})
}

func (r *rig) serve(service string, i int) {
	address := "10.0.0." + string(rune('1'+i)) + map[string]string{"plain": ":80", "llm": ":81"}[service]
	id := service + "-" + string(rune('1'+i))
	s := mimic.NewServer(mimic.Spec{
		ID: id, Service: service, Address: address, Zone: "a", Slots: 4, EventTime: 20 * time.Millisecond,
	}, r.book, func() {}, "m")
	r.ends[address] = r.net.Serve(address, s)
	r.servers = append(r.servers, s)
	in := site.Instance{Key: site.Key{ID: id}, Service: service, Address: address, Domain: "a", Slots: 4}
	if service == "llm" {
		in.Models = []string{"m"}
	}
	r.state.Instances[id] = in
}

// faults sets the same switches on all servers.
func (r *rig) faults(f mimic.Faults) {
	for _, s := range r.servers {
		s.SetFaults(f)
	}
}

// send takes a request through the relay; aborted is true if the answer was broken off.
func (r *rig) send(ctx context.Context, path, id string) (w *httptest.ResponseRecorder, aborted bool) {
	method, body := http.MethodPost, "order"
	if strings.HasPrefix(path, "/safe/") {
		method, body = http.MethodGet, ""
	}
	req := httptest.NewRequestWithContext(ctx, method, "http://h.example"+path, strings.NewReader(body))
	req.RequestURI = path
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", "4000")
	if strings.HasPrefix(path, "/resume/") || strings.HasPrefix(path, "/stream/") {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Counts", "10,25")
	}
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	r.relay.ServeHTTP(w, req)
	return w, false
}

const whole = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

func TestEndings(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		faults  mimic.Faults
		status  int
		body    string
		runs    int
		aborted bool
	}{
		{"safe", "/safe/x", mimic.Faults{}, 200, "served", 1, false},
		{"unsafe", "/unsafe/x", mimic.Faults{}, 200, "served", 1, false},
		{"stream", "/stream/x", mimic.Faults{}, 200, whole, 1, false},
		{"no route", "/none/x", mimic.Faults{}, 404, "", 0, false},
		{"safe, every answer lost", "/safe/x", mimic.Faults{Lose: 9}, 502, "", 2, false},
		{"unsafe, answer lost: never twice", "/unsafe/x", mimic.Faults{Lose: 9}, 502, "", 1, false},
		{"stream, answer lost: never twice", "/stream/x", mimic.Faults{Lose: 9}, 502, "", 1, false},
		{"unsafe, all full", "/unsafe/x", mimic.Faults{Shed: 99}, 503, "", 0, false},
		{"unsafe, answer cut short", "/unsafe/x", mimic.Faults{Cut: 9}, 502, "", 1, false},
		{"safe, answers cut short", "/safe/x", mimic.Faults{Cut: 9}, 502, "", 2, false},
		{"without a length", "/unsafe/x", mimic.Faults{Unframed: true}, 200, "served", 1, false},
		{"a second answer behind", "/unsafe/x", mimic.Faults{Extra: true}, 200, "served", 1, false},
		{"unsigned", "/unsafe/x", mimic.Faults{Unsigned: true}, 502, "", 1, false},
		{"encoded", "/unsafe/x", mimic.Faults{Encoded: true}, 502, "", 1, false},
		{"unsigned stream", "/stream/x", mimic.Faults{Unsigned: true}, 502, "", 1, false},
		{"unsafe, server fails", "/unsafe/x", mimic.Faults{Fail: 9}, 500, "", 1, false},
		{"safe, all servers fail", "/safe/x", mimic.Faults{Fail: 9}, 500, "", 2, false},
		{"unsafe, server hangs", "/unsafe/x", mimic.Faults{Hang: true}, 504, "", 1, false},
		{"stream cut: broken off visibly", "/stream/x", mimic.Faults{Cut: 9, CutAfter: 2}, 200, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, 3, func(r *rig) {
				r.faults(c.faults)
				w, aborted := r.send(r.t.Context(), c.path, "id-1")
				r.g.Expect(aborted).To(Equal(c.aborted))
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(r.book.Runs("id-1")).To(HaveLen(c.runs))
				if c.body != "" {
					r.g.Expect(w.Body.String()).To(Equal(c.body))
				}
				if c.status == 503 {
					r.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
				}
				if c.status >= 500 && c.status != 500 {
					r.g.Expect(w.Header().Get("Server-Seal")).To(BeEmpty(), "an own failure bears no server's signature")
				}
			})
		})
	}
}

// TestOneFailureIsRepeatedOnlyWhereAllowed lets one server fail once.
func TestOneFailureIsRepeatedOnlyWhereAllowed(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		faults mimic.Faults
		status int
		body   string
		runs   int
	}{
		{"safe, answer lost", "/safe/x", mimic.Faults{Lose: 1}, 200, "served", 2},
		{"safe, server failed", "/safe/x", mimic.Faults{Fail: 1}, 200, "served", 2},
		{"resumable stream, answer lost", "/resume/x", mimic.Faults{Lose: 1}, 200, whole, 2},
		{"resumable stream cut inside an event", "/resume/x", mimic.Faults{Cut: 1, CutAfter: 2}, 200, whole, 2},
		{"unsafe, one server full", "/unsafe/x", mimic.Faults{Shed: 1}, 200, "served", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, 2, func(r *rig) {
				// All but the second server of each service fail; they are nearer, so that requests meet them.
				for _, s := range r.servers[:2] {
					s.SetFaults(c.faults)
				}
				r.relay.set.Node.Domain = "a"
				for _, id := range []string{"plain-2", "llm-2"} {
					in := r.state.Instances[id]
					in.Domain = "b"
					r.state.Instances[id] = in
				}
				for i := range 6 {
					id := "id-" + string(rune('a'+i))
					w, aborted := r.send(r.t.Context(), c.path, id)
					r.g.Expect(aborted).To(BeFalse())
					r.g.Expect(w.Code).To(Equal(c.status))
					r.g.Expect(w.Body.String()).To(Equal(c.body))
					if runs := r.book.Runs(id); len(runs) > 1 {
						r.g.Expect(runs[0].Server).NotTo(Equal(runs[1].Server))
						r.g.Expect(runs).To(HaveLen(c.runs))
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
				r.g.Expect(c.runs).To(Equal(1), "no request met the failing server")
			})
		})
	}
}

func TestResumeNamesTheLastWholeEvent(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.faults(mimic.Faults{Cut: 1, CutAfter: 3})
		w, aborted := r.send(r.t.Context(), "/resume/x", "id-1")
		r.g.Expect(aborted).To(BeTrue(), "both servers cut it, and two attempts are allowed")
		r.g.Expect(w.Body.String()).To(Equal(whole[:strings.Index(whole, "id: 4")]), "no piece of an event is passed on")
		runs := r.book.Runs("id-1")
		r.g.Expect(runs).To(HaveLen(2))
		r.g.Expect(runs[1].From).To(Equal("3"))
	})
}

// TestTimeOverDuringAResumedStream cuts a stream, lets the second server hang,
// and expects that nothing is added to the events that went out.
func TestTimeOverDuringAResumedStream(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.faults(mimic.Faults{Cut: 1, CutAfter: 2, HangAfter: true})
		w, aborted := r.send(r.t.Context(), "/resume/x", "id-1")
		r.g.Expect(aborted).To(BeTrue())
		r.g.Expect(w.Body.String()).To(Equal(whole[:strings.Index(whole, "id: 3")]))
	})
}

func TestRefusedConnectionsAreTriedElsewhere(t *testing.T) {
	play(t, 3, func(r *rig) {
		r.ends["10.0.0.1:80"]()
		r.ends["10.0.0.2:80"]()
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(200))
		r.g.Expect(r.book.Runs("id-1")).To(HaveLen(1))
	})
}

func TestModelNowhereLoadedIsRefusedAtOnceWithATime(t *testing.T) {
	play(t, 1, func(r *rig) {
		for id, in := range r.state.Instances {
			in.Models = nil
			r.state.Instances[id] = in
		}
		began := time.Now()
		w, _ := r.send(r.t.Context(), "/stream/x", "id-1")
		r.g.Expect(w.Code).To(Equal(503))
		r.g.Expect(w.Header().Get("Retry-After")).To(Equal("2.000"))
		r.g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		r.g.Expect(r.asked).To(Equal(1))
	})
}

func TestCallerThatLeavesStopsTheServer(t *testing.T) {
	play(t, 1, func(r *rig) {
		ctx, cancel := context.WithTimeout(r.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, aborted := r.send(ctx, "/stream/x", "id-1")
		r.g.Expect(aborted).To(BeTrue())
		time.Sleep(500 * time.Millisecond)
		r.g.Expect(r.servers[1].Running()).To(BeZero(), "the server stops once its connection is closed")
	})
}

func TestRouteTimeoutAnswersInTime(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.state.Document.Routes[1].Timeout = time.Second
		r.faults(mimic.Faults{Hang: true})
		began := time.Now()
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(504))
		r.g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

func TestNoConfigurationIsSaidSo(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.state.Document = nil
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(503), "a front without a configuration cannot say 404")
		r.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
}

func TestLargeBodyIsRefused(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.state.Document.Limits.BodyBytes = 3
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(413))
		r.g.Expect(r.book.Runs("id-1")).To(BeEmpty())
	})
}

func TestSecondSendsStayInTheBudget(t *testing.T) {
	play(t, 3, func(r *rig) {
		r.faults(mimic.Faults{Fail: 1 << 20})
		const requests = 200
		sends := 0
		for i := range requests {
			id := "id-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			r.send(r.t.Context(), "/safe/x", id)
			sends += len(r.book.Runs(id))
		}
		set := r.relay.set.Retry
		r.g.Expect(float64(sends - requests)).To(BeNumerically("<=", set.Ratio*requests+set.Slack/budgetParts))
		r.g.Expect(sends).To(BeNumerically(">", requests))
	})
}
