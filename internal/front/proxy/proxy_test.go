package proxy

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	"foxtailcroft/internal/front/crash"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/memnet"
)

// harness is a proxy in front of simulated servers in one synctest bubble.
type harness struct {
	versions
	t            *testing.T
	g            *WithT
	net          *memnet.Network
	stopServer   map[string]func()
	executions   *fake.ExecutionLog
	proxy        *Server
	servers      []*fake.Server
	state        *follow.State
	plannerCalls int
	// foundInstances are those that the planner names, none if it names a reason.
	foundInstances []site.InstanceKey
	// blockedPart is a prompt part that the crash watch blocks, empty for none; broken and underWay are
	// the attempts that it was told of.
	blockedPart string
	// alsoBlocked is another one.
	alsoBlocked string
	// trialDue allows trials of it; trials and trialsBroken are those asked for and how they ended.
	trialDue     bool
	trials       []string
	trialsBroken []bool
	// suspected are the instances in whose place others answered.
	suspected []string
	watchMu   sync.Mutex
	broken    []brokenAttempt
	underWay  []int
	schedule  pace.Schedule
	log       *bytes.Buffer
	group     conc.WaitGroup
	// isUnproven and isOutdated tell that the document is not proved current, and not known to be.
	isUnproven bool
	isOutdated bool
	// isBehind tells that a newer document is on its way.
	isBehind bool
	// onProof is called when the proof is judged, nil for nothing.
	onProof func()
}

func (r *harness) AdmitsKeys() bool {
	if r.onProof != nil {
		r.onProof()
	}
	return !r.isUnproven
}

func (r *harness) KnowsCurrentDocument() bool {
	return !r.isOutdated
}

func (r *harness) HasNewestDocument() bool {
	return !r.isBehind
}

// brokenAttempt is an attempt that broke off before its answer was under way.
type brokenAttempt struct {
	instance string
	parts    int
	started  bool
}

func (r *harness) State() *follow.State {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	return r.state
}

func (r *harness) MarkDraining(k site.InstanceKey) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	s := *r.state
	s.Instances = maps.Clone(s.Instances)
	in := s.Instances[k.ID]
	in.Draining = true
	s.Instances[k.ID] = in
	r.state = &s
}

func (r *harness) RequestInstances(context.Context, peers.InstanceRequest) (peers.InstanceReply, error) {
	r.plannerCalls++
	if len(r.foundInstances) > 0 {
		return peers.InstanceReply{Instances: r.foundInstances}, nil
	}
	return peers.InstanceReply{Reason: "nowhere", ReadyIn: 2 * time.Second}, nil
}

// Reserve keeps one schedule for all instances, as if this front were their issuer.
func (r *harness) Reserve(_ context.Context, _ site.InstanceKey, perSecond float64, maxWait time.Duration) (time.Duration, bool) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	schedule, wait, ok := r.schedule.Reserve(time.Now(), perSecond, maxWait)
	r.schedule = schedule
	return wait, ok
}

func (r *harness) Suspect(in site.Instance) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.suspected = append(r.suspected, in.ID)
}

func (r *harness) RecordBroken(in site.Instance, prompt []site.PromptPart, started bool) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.broken = append(r.broken, brokenAttempt{in.ID, len(prompt), started})
}

func (r *harness) RecordAnswer(_ string, prompt []site.PromptPart) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.underWay = append(r.underWay, len(prompt))
}

func (r *harness) Blocked(_ string, prompt []site.PromptPart) []crash.BlockedPart {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	var out []crash.BlockedPart
	for _, p := range prompt {
		if p.ID != "" && (p.ID == r.blockedPart || p.ID == r.alsoBlocked) {
			out = append(out, crash.BlockedPart{ID: p.ID, Left: time.Minute})
		}
	}
	return out
}

func (r *harness) StartTrial(_ context.Context, t crash.TrialRequest) (end func(broken bool), ok bool) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.trials = append(r.trials, t.Part)
	return func(broken bool) {
		r.watchMu.Lock()
		defer r.watchMu.Unlock()
		r.trialsBroken = append(r.trialsBroken, broken)
	}, r.trialDue
}

// withProxy runs a test with a proxy in front of n servers of each service, of which those of llm
// hold model m; routes begin with /safe/, /unsafe/, /resume/ and /stream/.
func withProxy(t *testing.T, n int, test func(*harness)) {
	synctest.Test(t, func(t *testing.T) { runProxy(t, n, nil, test) })
}

// runProxy is withProxy on the caller's clock; instances are dialed with dial, nil for the harness's network.
func runProxy(t *testing.T, n int, dial conns.Dial, test func(*harness)) {
	r := &harness{t: t, g: NewWithT(t), net: memnet.New(), stopServer: map[string]func(){}, executions: &fake.ExecutionLog{}, log: &bytes.Buffer{}}
	route := func(prefix string, kind site.RouteKind, attempts int, resumable bool, service string) site.Route {
		return site.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: 5 * time.Second, ResponseGoal: time.Second, Split: []site.WeightedService{{Service: service, Weight: 1}},
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
	if dial == nil {
		dial = r.net.Dial
	}
	for i := range n {
		for _, service := range []string{"plain", "llm"} {
			r.addServer(service, i)
		}
	}
	pool, closePool := conns.New(dial, metrics.NewSet())
	pool.SetReports(platform.Dialect{})
	log, err := logs.New(r.log, "info", "f")
	r.g.Expect(err).NotTo(HaveOccurred())
	settings := conf.Front{Node: conf.Node{Name: "f"}, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58}}
	r.proxy = New(settings, r, pool, platform.Dialect{}, Helpers{Finder: r, Crashes: r, Pacer: r, Identities: r, Currency: r, Origins: r}, metrics.NewSet(), log.Sugar())
	defer r.group.Wait()
	defer r.net.Close()
	defer closePool()
	test(r)
}

// addServer starts the server with an index in a service and announces it.
func (r *harness) addServer(service string, i int) {
	address := "10.0.0." + string(rune('1'+i)) + map[string]string{"plain": ":80", "llm": ":81"}[service]
	id := service + "-" + string(rune('1'+i))
	s := fake.NewServer(fake.Spec{
		ID: id, Service: service, Address: address, Zone: "a", Slots: 4, EventTime: 20 * time.Millisecond,
	}, r.executions, func() {}, "m")
	r.stopServer[address] = r.net.Serve(address, s)
	r.servers = append(r.servers, s)
	in := site.Instance{InstanceKey: site.InstanceKey{ID: id}, Service: service, Address: address, Domain: "a", Version: "v1", ConcurrentRequests: 4}
	if service == "llm" {
		in.Models = []string{"m"}
	}
	r.state.Instances[id] = in
}

// setFaults sets the same faults on all servers.
func (r *harness) setFaults(f fake.Faults) {
	for _, s := range r.servers {
		s.SetFaults(f)
	}
}

// send serves a request by the proxy; aborted is true if the answer was cut off.
func (r *harness) send(ctx context.Context, path, id string) (w *httptest.ResponseRecorder, aborted bool) {
	return r.serve(ctx, path, id, nil)
}

// sendPrompt serves a request with prompt parts by the proxy.
func (r *harness) sendPrompt(path, id, parts string) (w *httptest.ResponseRecorder, aborted bool) {
	return r.serve(r.t.Context(), path, id, http.Header{"Prompt-Prefix": {parts}})
}

func (r *harness) serve(ctx context.Context, path, id string, header http.Header) (w *httptest.ResponseRecorder, aborted bool) {
	return r.serveBy(ctx, r.proxy, path, id, header)
}

// serveBy serves a request by one of several proxies.
func (r *harness) serveBy(ctx context.Context, proxy *Server, path, id string, header http.Header) (w *httptest.ResponseRecorder, aborted bool) {
	method, body := http.MethodPost, "order"
	if strings.HasPrefix(path, "/safe/") {
		method, body = http.MethodGet, ""
	}
	return r.serveBody(ctx, proxy, method, path, id, header, strings.NewReader(body))
}

// serveBody is serveBy with a method and a body.
func (r *harness) serveBody(ctx context.Context, proxy *Server, method, path, id string, header http.Header, body io.Reader) (w *httptest.ResponseRecorder, aborted bool) {
	req := httptest.NewRequestWithContext(ctx, method, "http://h.example"+path, body)
	req.RequestURI = path
	maps.Copy(req.Header, header)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Milliseconds", "4000")
	if strings.HasPrefix(path, "/resume/") || strings.HasPrefix(path, "/stream/") {
		req.Header.Set("Model", "m")
		if req.Header.Get("Token-Counts") == "" {
			req.Header.Set("Token-Counts", "10,25")
		}
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
	proxy.ServeHTTP(w, req)
	return w, false
}

// completeStream is the streamed answer that the servers give.
const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

// TestRequestOutcomes gives all servers the same faults and checks what the caller
// receives and how often the request runs. Unsigned and encoded answers are rejected.
func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		faults  fake.Faults
		status  int
		body    string
		runs    int
		aborted bool
	}{
		{"safe", "/safe/x", fake.Faults{}, 200, "served", 1, false},
		{"unsafe", "/unsafe/x", fake.Faults{}, 200, "served", 1, false},
		{"stream", "/stream/x", fake.Faults{}, 200, completeStream, 1, false},
		{"no route: not found", "/none/x", fake.Faults{}, 404, "", 0, false},
		{"safe, every answer lost: sent twice", "/safe/x", fake.Faults{LostResponses: 9}, 502, "", 2, false},
		{"unsafe, answer lost: never resent", "/unsafe/x", fake.Faults{LostResponses: 9}, 502, "", 1, false},
		{"stream, answer lost: never resent", "/stream/x", fake.Faults{LostResponses: 9}, 502, "", 1, false},
		{"unsafe, all servers full: refused", "/unsafe/x", fake.Faults{RejectedAsFull: 99}, 503, "", 0, false},
		{"unsafe, truncated answer: never resent", "/unsafe/x", fake.Faults{TruncatedResponses: 9}, 502, "", 1, false},
		{"safe, truncated answers: sent twice", "/safe/x", fake.Faults{TruncatedResponses: 9}, 502, "", 2, false},
		{"answer without a length is passed on", "/unsafe/x", fake.Faults{Unframed: true}, 200, "served", 1, false},
		{"second answer on the same connection is ignored", "/unsafe/x", fake.Faults{Extra: true}, 200, "served", 1, false},
		{"unsigned", "/unsafe/x", fake.Faults{Unsigned: true}, 502, "", 1, false},
		{"encoded", "/unsafe/x", fake.Faults{Encoded: true}, 502, "", 1, false},
		{"unsigned stream is rejected", "/stream/x", fake.Faults{Unsigned: true}, 502, "", 1, false},
		{"unsafe, server error is passed on", "/unsafe/x", fake.Faults{FailedResponses: 9}, 500, "", 1, false},
		{"safe, all servers fail: last error is passed on", "/safe/x", fake.Faults{FailedResponses: 9}, 500, "", 2, false},
		{"unsafe, server hangs until the deadline", "/unsafe/x", fake.Faults{HangResponses: true}, 504, "", 1, false},
		{"truncated stream is aborted visibly", "/stream/x", fake.Faults{TruncatedResponses: 9, TruncateAfterEvent: 2}, 200, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 3, func(r *harness) {
				r.setFaults(c.faults)
				w, aborted := r.send(r.t.Context(), c.path, "id-1")
				r.g.Expect(aborted).To(Equal(c.aborted))
				r.g.Expect(w.Code).To(Equal(c.status))
				r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(c.runs))
				if c.body != "" {
					r.g.Expect(w.Body.String()).To(Equal(c.body))
				}
				if c.status == 503 {
					r.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
				}
				if c.status >= 500 && c.status != 500 {
					r.g.Expect(w.Header().Get("Server-Seal")).To(BeEmpty(), "a front's own error has no server's signature")
				}
			})
		})
	}
}

// TestOneFailureIsResentWhereAllowed lets one server fail once: the request is
// resent to another server only where its route or the kind of failure allows it.
func TestOneFailureIsResentWhereAllowed(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		faults fake.Faults
		status int
		body   string
		runs   int
	}{
		{"safe, answer lost", "/safe/x", fake.Faults{LostResponses: 1}, 200, "served", 2},
		{"safe, server failed", "/safe/x", fake.Faults{FailedResponses: 1}, 200, "served", 2},
		{"resumable stream, answer lost", "/resume/x", fake.Faults{LostResponses: 1}, 200, completeStream, 2},
		{"resumable stream cut inside an event", "/resume/x", fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 2}, 200, completeStream, 2},
		{"unsafe, one server full", "/unsafe/x", fake.Faults{RejectedAsFull: 1}, 200, "served", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withProxy(t, 2, func(r *harness) {
				// The first server of each service fails once; it is nearer, so that requests choose it.
				for _, s := range r.servers[:2] {
					s.SetFaults(c.faults)
				}
				r.proxy.settings.Node.Domain = "a"
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
					if runs := r.executions.Runs(id); len(runs) > 1 {
						r.g.Expect(runs[0].Server).NotTo(Equal(runs[1].Server))
						r.g.Expect(runs).To(HaveLen(c.runs))
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
				r.g.Expect(c.runs).To(Equal(1), "no request reached the failing server")
			})
		})
	}
}

func TestResumeSendsLastCompleteEventID(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.setFaults(fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 3})
		w, aborted := r.send(r.t.Context(), "/resume/x", "id-1")
		r.g.Expect(aborted).To(BeTrue(), "both servers truncate the stream, and the route allows two attempts")
		r.g.Expect(w.Body.String()).To(Equal(completeStream[:strings.Index(completeStream, "id: 4")]), "only complete events are passed on")
		runs := r.executions.Runs("id-1")
		r.g.Expect(runs).To(HaveLen(2))
		r.g.Expect(runs[1].LastEventID).To(Equal("3"))
	})
}

// TestTimeoutDuringResumedStreamAddsNothing truncates a stream and lets the second
// server hang until the deadline: nothing may follow the events already sent.
func TestTimeoutDuringResumedStreamAddsNothing(t *testing.T) {
	withProxy(t, 2, func(r *harness) {
		r.setFaults(fake.Faults{TruncatedResponses: 1, TruncateAfterEvent: 2, HangResumed: true})
		w, aborted := r.send(r.t.Context(), "/resume/x", "id-1")
		r.g.Expect(aborted).To(BeTrue())
		r.g.Expect(w.Body.String()).To(Equal(completeStream[:strings.Index(completeStream, "id: 3")]))
	})
}

func TestRefusedConnectionFallsBackToAnotherInstance(t *testing.T) {
	withProxy(t, 3, func(r *harness) {
		r.stopServer["10.0.0.1:80"]()
		r.stopServer["10.0.0.2:80"]()
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(200))
		r.g.Expect(r.executions.Runs("id-1")).To(HaveLen(1))
	})
}

func TestUnloadedModelIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		for id, in := range r.state.Instances {
			in.Models = nil
			r.state.Instances[id] = in
		}
		began := time.Now()
		w, _ := r.send(r.t.Context(), "/stream/x", "id-1")
		r.g.Expect(w.Code).To(Equal(503))
		r.g.Expect(w.Header().Get("Retry-After")).To(Equal("2.000"))
		r.g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		r.g.Expect(r.plannerCalls).To(Equal(1))
	})
}

func TestCallerDisconnectStopsTheServer(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		ctx, cancel := context.WithTimeout(r.t.Context(), 50*time.Millisecond)
		defer cancel()
		_, aborted := r.send(ctx, "/stream/x", "id-1")
		r.g.Expect(aborted).To(BeTrue())
		time.Sleep(500 * time.Millisecond)
		r.g.Expect(r.servers[1].RunningRequests()).To(BeZero(), "the proxy closes the connection, which stops the server")
	})
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.state.Document.Routes[1].Timeout = time.Second
		r.setFaults(fake.Faults{HangResponses: true})
		began := time.Now()
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(504))
		r.g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
	})
}

func TestMissingConfigurationIsRefusedAsUnavailable(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.state.Document = nil
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(503), "a front without a configuration does not know its routes, so it must not answer 404")
		r.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
}

// TestUnknownRouteIsNotDeniedBeforeTheNewestDocumentIsHere guards against 404 for a route that a document on
// its way has added (CONFIG, issue 53).
func TestUnknownRouteIsNotDeniedBeforeTheNewestDocumentIsHere(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.isBehind = true
		w, _ := r.send(r.t.Context(), "/none/x", "id-1")
		r.g.Expect(w.Code).To(Equal(503))
		r.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
}

func TestLargeBodyIsRefused(t *testing.T) {
	withProxy(t, 1, func(r *harness) {
		r.state.Document.Limits.BodyBytes = 3
		w, _ := r.send(r.t.Context(), "/unsafe/x", "id-1")
		r.g.Expect(w.Code).To(Equal(413))
		r.g.Expect(r.executions.Runs("id-1")).To(BeEmpty())
	})
}

func TestResendsStayWithinTheBudget(t *testing.T) {
	withProxy(t, 3, func(r *harness) {
		r.setFaults(fake.Faults{FailedResponses: 1 << 20})
		const requests = 200
		sends := 0
		for i := range requests {
			id := "id-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			r.send(r.t.Context(), "/safe/x", id)
			sends += len(r.executions.Runs(id))
		}
		budget := r.proxy.settings.Retry
		r.g.Expect(float64(sends - requests)).To(BeNumerically("<=", budget.Ratio*requests+budget.Slack/budgetSharesPerFront))
		r.g.Expect(sends).To(BeNumerically(">", requests))
	})
}
