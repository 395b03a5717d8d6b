package front

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/platform"
)

const (
	revocationBound = 5 * time.Second
	// keyInterval is the time between two requests with each key to each front.
	keyInterval = 400 * time.Millisecond
)

// keyRig is fronts with strict revocation, each behind its own gate.
type keyRig struct {
	*harness
	names []string
	gates map[string]*gate
	stops map[string]func()
	// fronts are the running fronts by name.
	fronts map[string]*Front
	// withdrawn gives when the store acknowledged the documents without keys.
	withdrawn map[string]time.Time
	results   []keyResult
	version   int
}

// keyResult is what a request with a key led to.
type keyResult struct {
	front, key, id string
	at             time.Time
	status         int
}

// withKeys runs a test with fronts that have served requests with the keys a to e for a while.
func withKeys(t *testing.T, fronts int, bound time.Duration, test func(*keyRig)) {
	withHarness(t, func(h *harness) {
		r := &keyRig{harness: h, gates: map[string]*gate{}, stops: map[string]func(){}, fronts: map[string]*Front{}, withdrawn: map[string]time.Time{}}
		r.writeKeys("a", "b", "c", "d", "e")
		r.startServer("i-1", "desk")
		for i := range fronts {
			name := fmt.Sprintf("front-%d", i+1)
			r.names = append(r.names, name)
			r.gates[name] = newGate(&http.Transport{DialContext: r.dial})
			r.startStrict(name, bound)
		}
		defer func() {
			for _, name := range r.names {
				r.gates[name].set(storeOpen, false)
				r.stops[name]()
			}
		}()
		time.Sleep(4 * time.Second)
		test(r)
	})
}

// writeKeys writes a document with one account that holds keys.
func (r *keyRig) writeKeys(keys ...string) {
	r.version++
	r.writeKey(platform.DocumentKey, fmt.Sprintf(`{"version":%d,"tenants":[{"name":"a1","keys":["%s"]}],"routes":[
{"name":"p","host":"h.example","pathPrefix":"/key/","kind":"unsafe","timeoutMs":5000,"service":"desk","attempts":1},
{"name":"q","host":"h.example","pathPrefix":"/open/","kind":"unsafe","timeoutMs":5000,"service":"desk","attempts":1,"keyless":true}],
"services":[{"name":"desk"}],"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`, r.version, strings.Join(keys, `","`)))
}

// withdraw writes a document without some of the keys.
func (r *keyRig) withdraw(withdrawn string, left ...string) {
	r.writeKeys(left...)
	r.withdrawn[withdrawn] = time.Now()
}

// startStrict starts a front behind its gate.
func (r *keyRig) startStrict(name string, bound time.Duration) {
	g, meters := r.gates[name], metrics.NewSet()
	s := platform.NewStore("store:1", g, time.Second, meters)
	s.SetClock(g.sinceBoot)
	f, closeFront := New(Options{
		Settings: conf.Front{
			Node: conf.Node{Name: name, Domain: "a"}, Listen: conf.FrontListen{Callers: name + ":1", Ready: name + ":2", Peers: name + ":3"},
			ChecksFence: true, Seeds: []string{"front-1:3", "front-2:3", "front-3:3"}, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58},
			Bounds: conf.Bounds{
				Grace: grace, InForce: 2 * time.Second, Drain: 2 * time.Second, Lease: 3 * time.Second, Returning: 2 * time.Second, LoadWindow: 5 * time.Second,
				MinLease: time.Second, Contact: 3 * time.Second, StrictRevocation: bound > 0, Revocation: bound,
			},
		},
		Store: s, Dialect: platform.Dialect{},
		StoreLayout: follow.Layout{
			DocumentKey: platform.DocumentKey, InstancePrefix: platform.ServerPrefix,
			Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.SystemPrefix},
		},
		DialInstance: r.net.Dial, DialPeer: g.dial(r.net.Dial), ReadyPath: platform.ReadyPath, Metrics: meters, Log: zap.NewNop(), SinceBoot: g.sinceBoot,
	})
	parts, closeTree := tree.New(r.ctx, zap.NewNop())
	f.Start(parts, Listeners{Callers: r.net.Listen(name + ":1"), Ready: r.net.Listen(name + ":2"), Peers: gatedListener{r.net.Listen(name + ":3"), g}})
	r.fronts[name] = f
	r.stops[name] = func() {
		closeFront()
		closeTree()
		g.base.(*http.Transport).CloseIdleConnections()
	}
}

// ask sends a request with a key, none if it is empty, and returns the answer's status.
func (r *keyRig) ask(front, path, key, id string) int {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+front+":1"+path, strings.NewReader("x"))
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	res, err := r.client.Do(req)
	r.g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable {
		r.g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
	return res.StatusCode
}

// sendFor sends requests with keys to all fronts for a while.
func (r *keyRig) sendFor(d time.Duration, keys ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(keyInterval) {
		for _, front := range r.names {
			for _, key := range keys {
				x := keyResult{front: front, key: key, id: fmt.Sprintf("id-%d", len(r.results)), at: time.Now()}
				x.status = r.ask(front, "/key/x", key, x.id)
				r.results = append(r.results, x)
			}
			r.g.Expect(r.ask(front, "/open/x", "", fmt.Sprintf("open-%d", len(r.results)))).To(Equal(http.StatusOK), "keyless routes are served")
		}
	}
}

// expectBound checks that no request with a withdrawn key has run that was sent after the bound.
func (r *keyRig) expectBound() {
	for _, x := range r.results {
		if at, ok := r.withdrawn[x.key]; ok && x.at.After(at.Add(revocationBound)) {
			r.g.Expect(r.executions.Runs(x.id)).To(BeEmpty(), "key %s at %s, %s after it was withdrawn", x.key, x.front, x.at.Sub(at))
			r.g.Expect(x.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable))
		}
	}
}

// statuses returns the statuses of requests with a key to a front since a moment, each once.
func (r *keyRig) statuses(front, key string, since time.Time) map[int]bool {
	out := map[int]bool{}
	for _, x := range r.results {
		if x.front == front && x.key == key && !x.at.Before(since) {
			out[x.status] = true
		}
	}
	return out
}

// TestWithdrawnKeysAreNotAdmitted guards against requests with a withdrawn key that run although they
// were sent later than the bound after the acknowledgement, and against fronts that refuse valid keys
// although the store or another front can prove their document current.
func TestWithdrawnKeysAreNotAdmitted(t *testing.T) {
	type faultCase struct {
		name string
		// begin begins the fault at a front, and afterwards lasts for 12 s.
		begin func(r *keyRig, front string)
		// refused tells that the front can't prove its document current during the fault.
		refused bool
	}
	gated := func(mode storeMode, peersCut bool) func(*keyRig, string) {
		return func(r *keyRig, front string) { r.gates[front].set(mode, peersCut) }
	}
	for _, c := range []faultCase{
		{"no fault", gated(storeOpen, false), false},
		{"cut off from the store", gated(storeCut, false), false},
		{"refused by the store", gated(storeRefused, false), false},
		{"cut off from the other fronts", gated(storeOpen, true), false},
		{"cut off from all", gated(storeCut, true), true},
		{"refused by the store and cut off from the other fronts", gated(storeRefused, true), true},
		{"answers lost", gated(storeLosesAnswers, false), false},
		{"answers lost, cut off from the other fronts", gated(storeLosesAnswers, true), true},
		{"slow store", gated(storeSlow, false), false},
		{"slow store, cut off from the other fronts", gated(storeSlow, true), false},
		{"answers held, cut off from the other fronts", gated(storeHeld, true), true},
		{"history forgotten", func(r *keyRig, front string) {
			r.gates[front].set(storeCut, true)
			time.Sleep(time.Second)
			r.writeKey("other", "x")
			r.memory.Compact()
			r.gates[front].set(storeOpen, false)
		}, false},
		{"restarted while the store is cut off", func(r *keyRig, front string) {
			r.gates[front].set(storeCut, false)
			r.stops[front]()
			r.startStrict(front, revocationBound)
			time.Sleep(2 * time.Second)
		}, false},
	} {
		for _, victim := range []string{"front-1", "front-3"} {
			t.Run(c.name+", "+victim, func(t *testing.T) {
				withKeys(t, 3, revocationBound, func(r *keyRig) {
					r.sendFor(time.Second, "a", "b")
					for _, front := range r.names {
						r.g.Expect(r.statuses(front, "a", time.Time{})).To(Equal(map[int]bool{200: true}))
					}
					began := time.Now()
					c.begin(r, victim)
					r.withdraw("a", "b", "c")
					r.sendFor(12*time.Second, "a", "b")
					for _, front := range r.names {
						want := map[int]bool{200: true}
						if front == victim && c.refused {
							want[503] = true
							r.g.Expect(r.statuses(front, "b", began.Add(revocationBound))).To(Equal(map[int]bool{503: true}))
						}
						r.g.Expect(r.statuses(front, "b", began)).To(Equal(want), front)
					}
					r.gates[victim].set(storeOpen, false)
					time.Sleep(2 * time.Second)
					back := time.Now()
					r.sendFor(2*time.Second, "a", "b")
					r.g.Expect(r.statuses(victim, "a", back)).To(Equal(map[int]bool{401: true}))
					r.g.Expect(r.statuses(victim, "b", back)).To(Equal(map[int]bool{200: true}))
					r.expectBound()
				})
			})
		}
	}
}

// TestSuspendedFrontAdmitsNoWithdrawnKey guards against fronts that count the age of a proof by a clock
// that stands still while the process is suspended, or take an answer of before as new.
func TestSuspendedFrontAdmitsNoWithdrawnKey(t *testing.T) {
	withKeys(t, 3, revocationBound, func(r *keyRig) {
		for _, victim := range r.names {
			r.gates[victim].set(storeHeld, true)
		}
		time.Sleep(200 * time.Millisecond)
		r.withdraw("a", "b")
		for i, victim := range r.names {
			r.g.Expect(r.ask(victim, "/key/x", "a", fmt.Sprint("early-", i))).To(Equal(http.StatusOK))
			r.gates[victim].suspend(revocationBound)
			r.g.Expect(r.ask(victim, "/key/x", "a", fmt.Sprint("late-", i))).To(Equal(http.StatusServiceUnavailable))
			r.gates[victim].set(storeOpen, false)
			r.g.Expect(r.ask(victim, "/key/x", "a", fmt.Sprint("thawed-", i))).To(BeElementOf(401, 503))
		}
		time.Sleep(time.Second)
		for i, victim := range r.names {
			r.g.Expect(r.ask(victim, "/key/x", "a", fmt.Sprint("after-", i))).To(Equal(http.StatusUnauthorized))
			r.g.Expect(r.ask(victim, "/key/x", "b", fmt.Sprint("valid-", i))).To(Equal(http.StatusOK))
		}
	})
}

// TestAnswersFromBeforeASuspensionProveNothing guards against answers that count from their arrival: the
// store answers, the process is suspended, the key is withdrawn, and then the process reads the answer.
func TestAnswersFromBeforeASuspensionProveNothing(t *testing.T) {
	for _, c := range []struct {
		path      string
		restarted bool
	}{{readPath, false}, {watchPath, false}, {rangePath, true}} {
		t.Run(c.path, func(t *testing.T) {
			withKeys(t, 1, revocationBound, func(r *keyRig) {
				const name = "front-1"
				g := r.gates[name]
				g.set(storeHeld, true)
				if c.restarted {
					r.stops[name]()
					r.startStrict(name, revocationBound)
				}
				for g.addHeld(c.path, 0) == 0 {
					time.Sleep(time.Millisecond)
				}
				r.withdraw("a", "b")
				g.suspend(revocationBound)
				g.release(c.path)
				time.Sleep(10 * time.Millisecond)
				r.g.Expect(r.ask(name, "/key/x", "a", "late")).To(Equal(http.StatusServiceUnavailable))
				r.g.Expect(r.executions.Runs("late")).To(BeEmpty())
			})
		})
	}
}

// TestKeysWithdrawnInQuickSuccession guards against proofs of one document that count for another.
func TestKeysWithdrawnInQuickSuccession(t *testing.T) {
	withKeys(t, 3, revocationBound, func(r *keyRig) {
		for _, front := range r.names {
			r.gates[front].set(storeSlow, false)
		}
		r.withdraw("a", "b", "c", "d", "e")
		r.sendFor(300*time.Millisecond, "a", "e")
		r.withdraw("b", "c", "d", "e")
		r.sendFor(300*time.Millisecond, "b", "e")
		r.withdraw("c", "d", "e")
		r.gates["front-1"].set(storeCut, true)
		r.sendFor(time.Second, "c", "e")
		r.withdraw("d", "e")
		r.sendFor(8*time.Second, "a", "b", "c", "d", "e")
		r.expectBound()
		for _, key := range []string{"a", "b", "c", "d"} {
			r.g.Expect(r.statuses("front-3", key, r.withdrawn["d"].Add(4*time.Second))).To(Equal(map[int]bool{401: true}), key)
		}
		r.g.Expect(r.statuses("front-3", "e", time.Time{})).To(Equal(map[int]bool{200: true}))
	})
}

// TestRestartWithoutAnyProof guards against a withdrawn key that comes back with a restart while the
// store is away for all fronts.
func TestRestartWithoutAnyProof(t *testing.T) {
	withKeys(t, 3, revocationBound, func(r *keyRig) {
		for _, front := range r.names {
			r.gates[front].set(storeHeld, false)
		}
		r.withdraw("a", "b")
		r.sendFor(3*time.Second, "a", "b")
		r.stops["front-3"]()
		r.startStrict("front-3", revocationBound)
		time.Sleep(2 * time.Second)
		r.sendFor(6*time.Second, "a", "b")
		for _, front := range r.names {
			r.g.Expect(r.statuses(front, "b", r.withdrawn["a"].Add(revocationBound+time.Second))).To(Equal(map[int]bool{503: true}), front)
		}
		for _, front := range r.names {
			r.gates[front].set(storeOpen, false)
		}
		time.Sleep(2 * time.Second)
		back := time.Now()
		r.sendFor(time.Second, "a", "b")
		for _, front := range r.names {
			r.g.Expect(r.statuses(front, "b", back)).To(Equal(map[int]bool{200: true}), front)
		}
		r.expectBound()
	})
}

// TestProofsCostFewReads guards against reads of the document's key beyond the price that is allowed.
func TestProofsCostFewReads(t *testing.T) {
	for _, c := range []struct {
		name   string
		fronts int
		bound  time.Duration
		// maxReads bounds the reads of a front that watches the store, and maxFollower those of one that follows another.
		maxReads, maxFollower int
	}{{"one front", 1, revocationBound, 21, 21}, {"six fronts", 6, revocationBound, 21, 10}, {"not strict", 6, 0, 6, 2}} {
		t.Run(c.name, func(t *testing.T) {
			withKeys(t, c.fronts, c.bound, func(r *keyRig) {
				const span = 30 * time.Second
				for _, front := range r.names {
					r.gates[front].takeReads()
				}
				time.Sleep(span)
				var counts []int
				for _, front := range r.names {
					counts = append(counts, r.gates[front].takeReads())
				}
				t.Logf("reads in %s by front: %v", span, counts)
				// The planner and two more fronts watch the store.
				slices.Sort(counts)
				for i, n := range counts {
					limit := c.maxReads
					if i < len(counts)-3 {
						limit = c.maxFollower
					}
					r.g.Expect(n).To(BeNumerically("<=", limit))
				}
			})
		})
	}
}

// TestUnknownKeyAtAnOutdatedFront guards against 401, after which callers don't retry, from a front that
// can't know the newest keys, where revocation is not strict.
func TestUnknownKeyAtAnOutdatedFront(t *testing.T) {
	withKeys(t, 3, 0, func(r *keyRig) {
		r.sendFor(4*time.Second, "new")
		for _, front := range r.names {
			r.g.Expect(r.statuses(front, "new", time.Time{})).To(Equal(map[int]bool{401: true}), front)
			r.gates[front].set(storeRefused, true)
		}
		// The watch calls that wait end first.
		time.Sleep(2 * time.Second)
		r.writeKeys("a", "new")
		time.Sleep(2 * time.Second)
		cut := time.Now()
		r.sendFor(time.Second, "a", "new")
		for _, front := range r.names {
			r.g.Expect(r.statuses(front, "new", cut)).To(Equal(map[int]bool{503: true}), front)
			r.g.Expect(r.statuses(front, "a", cut)).To(Equal(map[int]bool{200: true}), front)
		}
	})
}
