package front

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/memnet"
)

const (
	// returnBound is the time within which a document must be in force and a server that leaves must be left.
	returnBound = 2 * time.Second
	// returnGrace is the time that servers have to announce themselves once the store is back.
	returnGrace = 2 * time.Second
	// orderPause is the time between orders of two fronts to one server that doesn't check fencing tokens.
	orderPause = 3 * time.Second
	// settleTime is how long a test runs before the copy is taken.
	settleTime = 5 * time.Second
	// storeLatency is the time that the store takes for a call.
	storeLatency = 4 * time.Millisecond
)

// returnRig is fronts and servers around a store that comes back from copies.
type returnRig struct {
	crashRig
	// slow tells that the fronts have slow links, and checksFence that servers check fencing tokens.
	slow, checksFence bool
	fronts            map[string]*Front
	startedAt         map[string]time.Time
	stops             map[string]func()
	servers           []*returnServer
	// lost are the log lines that tell of lost history.
	lost *observer.ObservedLogs
	// version is that of the newest document, and written is when each version was last acknowledged.
	version int
	written map[int]time.Time
	// routes is the number of additional routes of the next documents.
	routes int
	// faults are the breaches found so far.
	faults []string
}

// returnServer is a server that writes its announcement again when the store has returned.
type returnServer struct {
	*fake.Server
	id string
	// delay is the time after which it does so, and silent is set if it does not.
	delay  time.Duration
	silent bool
}

// withReturns runs a test with a number of fronts, which know a first document.
func withReturns(t *testing.T, fronts int, slow, checksFence bool, test func(*returnRig)) {
	withHarness(t, func(h *harness) {
		core, lost := observer.New(zap.InfoLevel)
		h.log = zap.New(core)
		r := &returnRig{
			crashRig: crashRig{harness: h, part: "none"}, slow: slow, checksFence: checksFence, lost: lost.FilterMessage("history lost, reading all again"),
			fronts: map[string]*Front{}, startedAt: map[string]time.Time{}, stops: map[string]func(){}, written: map[int]time.Time{},
		}
		done := make(chan struct{})
		defer r.clients.Wait()
		defer close(done)
		r.memory.SetFaults(kvsim.Faults{Delay: storeLatency})
		r.writeVersion(1)
		r.addServer("desk")
		for n := range fronts {
			r.startFront(fmt.Sprintf("front-%d", n+1))
		}
		defer func() {
			for _, stop := range r.stops {
				stop()
			}
		}()
		r.clients.Go(func() { r.sampleVersions(done) })
		test(r)
	})
}

// startFront starts a front, or starts it again.
func (r *returnRig) startFront(name string) {
	set := conf.Front{
		Node: conf.Node{Name: name, Domain: "a"}, Listen: conf.FrontListen{Callers: name + ":1", Ready: name + ":2", Peers: name + ":3"},
		ChecksFence: r.checksFence, Seeds: []string{"front-1:3", "front-2:3"}, Retry: conf.RetryBudget{Ratio: 0.2, Slack: 58},
		Bounds: conf.Bounds{
			Grace: grace, InForce: returnBound, Drain: returnBound, Lease: orderPause,
			Returning: returnGrace, LoadWindow: 5 * time.Second, MinLease: time.Second, Contact: contact,
		},
	}
	if r.slow {
		r.links[name] = memnet.NewLink(slowLink)
		set.LinkBytesPerSecond, set.MaxValueBytes = slowLink, 1<<20
	}
	f, stop := r.startWith(set)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts[name], r.startedAt[name], r.stops[name] = f, time.Now(), sync.OnceFunc(stop)
}

// running returns the fronts that run.
func (r *returnRig) running() map[string]*Front {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.fronts)
}

// sampleVersions finds fronts that go back to an older document, or that have none in force in time.
func (r *returnRig) sampleVersions(done <-chan struct{}) {
	inForce, late := map[*Front]int64{}, map[string]bool{}
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for name, f := range r.running() {
			version := int64(0)
			if d := f.follower.State().Document; d != nil {
				version = d.Version
			}
			r.mu.Lock()
			if version < inForce[f] {
				r.faults = append(r.faults, fmt.Sprintf("%s went back from version %d to %d", name, inForce[f], version))
			}
			inForce[f] = version
			for v, at := range r.written {
				if started := r.startedAt[name].Add(contact); at.Before(started) {
					at = started
				}
				if key := fmt.Sprintf("%s %d", name, v); version < int64(v) && time.Since(at) > returnBound && !late[key] {
					late[key] = true
					r.faults = append(r.faults, fmt.Sprintf("version %d not in force at %s in time, but %d", v, name, version))
				}
			}
			r.mu.Unlock()
		}
	}
}

// writeVersion writes a version of the document.
func (r *returnRig) writeVersion(version int) {
	if r.routes > 0 {
		r.writeKey(platform.DocumentKey, routesDocument(version, r.routes))
	} else {
		r.configure(version, fmt.Sprintf("v%d", version))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.written[version] = time.Now()
}

// addServer starts a server and announces it.
func (r *returnRig) addServer(service string, models ...string) *returnServer {
	n := len(r.servers) + 1
	s := &returnServer{id: fmt.Sprintf("i-%d", n), delay: time.Duration(n) * 400 * time.Millisecond}
	sizes := map[string]float64{"m": 70000}
	for m := range returnModels {
		sizes[fmt.Sprintf("m%d", m)] = 70000
	}
	address := fmt.Sprintf("10.0.4.%d:80", n)
	s.Server = fake.NewServer(fake.Spec{
		ID: s.id, Born: 1, Service: service, Address: address, Zone: "a", Slots: 16, EventTime: 20 * time.Millisecond,
		Sizes: sizes, WeightsMb: 220000, AdapterSlots: 8, LoadTime: 300 * time.Millisecond, ChecksFence: r.checksFence,
	}, r.executions, func() { r.announce(s) }, models...)
	r.net.Serve(address, s.Server)
	r.servers = append(r.servers, s)
	r.announce(s)
	return s
}

// announce writes a server's announcement, unless the store is away.
func (r *returnRig) announce(s *returnServer) {
	// A server whose write fails writes again later.
	_, _ = r.memory.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: s.Key(), Value: s.Announcement()}}})
}

// storeReturn is how the store returns from a copy.
type storeReturn struct {
	away   time.Duration
	leases kvsim.Leases
}

// returnFrom lets the store go away, and return from a copy; the servers announce themselves again.
func (r *returnRig) returnFrom(c kvsim.Copy, s storeReturn) {
	r.memory.SetFaults(kvsim.Faults{Away: true, Delay: storeLatency})
	time.Sleep(s.away)
	r.memory.ReturnFrom(c, s.leases)
	r.memory.SetFaults(kvsim.Faults{Delay: storeLatency})
	for _, s := range r.servers {
		silent := s.silent
		r.clients.Go(func() {
			if silent {
				// The store removes what no server writes any longer.
				time.Sleep(lapseTime)
				r.deleteKey(s.Key())
				return
			}
			time.Sleep(s.delay)
			r.announce(s)
		})
	}
}

// revision returns the store's revision in its era.
func (r *returnRig) revision() int64 {
	list, err := r.memory.Range(r.ctx, "none/")
	r.g.Expect(err).NotTo(HaveOccurred())
	return store.RevisionOf(list.Revision)
}

// fill writes other keys until the store has a revision.
func (r *returnRig) fill(revision int64) {
	for r.revision() < revision {
		r.writeKey("op/other", "x")
	}
}

// found returns the breaches found so far.
func (r *returnRig) found() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// place is where the revision of a document lies to that of one that was lost.
type place int

const (
	below place = iota
	equal
	above
)

// TestDocumentsWrittenAfterTheStoreReturnsFromACopyAreInForce guards against fronts that ignore documents
// below the revisions of a history that was lost, and against fronts that go back to the copy's (CONFIG).
func TestDocumentsWrittenAfterTheStoreReturnsFromACopyAreInForce(t *testing.T) {
	const largeRoutes = 1500
	for _, c := range []struct {
		name string
		storeReturn
		// place is that of the first new document after the return.
		place place
		// repeated tells that the operator first writes the lost version again.
		repeated bool
		// unseen tells that the store goes away as the lost version is acknowledged.
		unseen bool
		// returns is the number of returns in a row, 1 if it is 0.
		returns int
		routes  int
		slow    bool
		// startsDuring tells that a front starts while the store is away.
		startsDuring bool
	}{
		{name: "lost version written again", storeReturn: storeReturn{away: time.Second}, repeated: true},
		{name: "below the lost revision", storeReturn: storeReturn{away: time.Second}},
		{name: "at the lost revision, other bytes", storeReturn: storeReturn{away: time.Second}, place: equal},
		{name: "above the lost revision", storeReturn: storeReturn{away: time.Second}, place: above},
		{name: "at once", repeated: true},
		{name: "away for long", storeReturn: storeReturn{away: 6 * time.Second}, repeated: true},
		{name: "leases run on", storeReturn: storeReturn{away: time.Second, leases: kvsim.LeasesKept}, repeated: true},
		{name: "keys outlive their leases", storeReturn: storeReturn{away: time.Second, leases: kvsim.LeasesLapse}, place: equal},
		{name: "between acknowledgement and event", storeReturn: storeReturn{away: time.Second}, unseen: true, repeated: true},
		{name: "twice", storeReturn: storeReturn{away: time.Second}, repeated: true, returns: 2},
		{name: "large document", storeReturn: storeReturn{away: time.Second}, repeated: true, routes: largeRoutes / 5},
		{name: "large document, slow links", storeReturn: storeReturn{away: time.Second}, repeated: true, routes: largeRoutes, slow: true},
		{name: "large document on its way, slow links", storeReturn: storeReturn{away: time.Second}, repeated: true, unseen: true, routes: largeRoutes, slow: true},
		{name: "slow links", storeReturn: storeReturn{away: time.Second}, place: equal, slow: true},
		{name: "a front starts meanwhile", storeReturn: storeReturn{away: time.Second}, repeated: true, startsDuring: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReturns(t, 3, c.slow, true, func(r *returnRig) {
				time.Sleep(settleTime)
				for range max(1, c.returns) {
					taken := r.memory.Copy()
					r.fill(r.revision() + 40)
					r.routes = c.routes
					lost := r.version + 1
					r.writeVersion(lost)
					lostRevision := r.revision()
					if !c.unseen {
						time.Sleep(3 * time.Second)
					}
					r.forget(lost)
					if c.startsDuring {
						r.clients.Go(func() {
							time.Sleep(c.away / 2)
							r.startFront("front-4")
						})
					}
					r.returnFrom(taken, c.storeReturn)
					// The operator has a delay of its own.
					time.Sleep(700 * time.Millisecond)
					if c.repeated {
						r.writeVersion(lost)
						time.Sleep(300 * time.Millisecond)
					}
					switch c.place {
					case equal:
						r.fill(lostRevision - 1)
					case above:
						r.fill(lostRevision + 5)
					}
					r.writeVersion(lost + 1)
					if c.place == equal {
						r.g.Expect(r.revision()).To(Equal(lostRevision))
					}
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(contact + 2*returnBound)
				r.routes = 0
				r.writeVersion(r.version + 1)
				time.Sleep(contact)
				r.g.Expect(r.found()).To(BeEmpty())
				for name := range r.running() {
					status, body, err := r.send(name, fmt.Sprintf("/v%d/x", r.version), "id-"+name)
					r.g.Expect(err).NotTo(HaveOccurred())
					r.g.Expect(status).To(Equal(http.StatusOK), "%s: %s", name, body)
				}
			})
		})
	}
}

// forget drops a version that the store loses from those to be in force.
func (r *returnRig) forget(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.written, version)
}

// serverEvent is what a server does.
type serverEvent int

const (
	nothing serverEvent = iota
	drains
	leaves
	starts
)

// TestServersThatLeaveAroundAReturnOfTheStoreGetNoRequests guards against fronts that take a server that
// leaves for one that serves, or one that serves for gone, as the copy shows it (DRAIN, issue 57).
func TestServersThatLeaveAroundAReturnOfTheStoreGetNoRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		storeReturn
		// before is what the server does between the copy and the return, and unseen tells that the store goes away at once then.
		before serverEvent
		unseen bool
		// silent tells that it writes nothing after the return.
		silent bool
		// after is what it does after the return, and wait when.
		after serverEvent
		wait  time.Duration
	}{
		{name: "drains soon after the return", storeReturn: storeReturn{away: time.Second}, after: drains, wait: 500 * time.Millisecond},
		{name: "drains after the return", storeReturn: storeReturn{away: time.Second}, after: drains, wait: contact},
		{name: "drains after a return at once", after: drains, wait: contact},
		{name: "leaves after the return", storeReturn: storeReturn{away: time.Second}, after: leaves, wait: contact},
		{name: "starts before the return and drains after it", storeReturn: storeReturn{away: time.Second}, before: starts, after: drains, wait: contact},
		{name: "drained, the copy shows it ready", storeReturn: storeReturn{away: time.Second}, before: drains},
		{name: "drained and is gone, the copy shows it ready", storeReturn: storeReturn{away: time.Second}, before: drains, silent: true},
		{name: "drained, the store returns at once", before: drains},
		{name: "drained between acknowledgement and event", storeReturn: storeReturn{away: time.Second}, before: drains, unseen: true},
		{name: "left, the copy lists it", storeReturn: storeReturn{away: time.Second}, before: leaves, silent: true},
		{name: "started, the copy lacks it", storeReturn: storeReturn{away: time.Second}, before: starts},
		{name: "started, the copy lacks it, at once", before: starts},
		{name: "started and is gone, the copy lacks it", storeReturn: storeReturn{away: time.Second}, before: starts, silent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReturns(t, 3, false, true, func(r *returnRig) {
				first, subject := r.servers[0], (*returnServer)(nil)
				if c.before != starts {
					subject = r.addServer("desk")
				}
				time.Sleep(settleTime)
				taken := r.memory.Copy()
				r.fill(r.revision() + 40)
				// leftAt is when the subject's leaving was acknowledged.
				var leftAt time.Time
				act := func(e serverEvent) {
					switch e {
					case drains:
						subject.Drain()
						leftAt = time.Now()
					case leaves:
						subject.silent = true
						r.deleteKey(subject.Key())
						leftAt = time.Now()
					case starts:
						// The server that the copy lacks is the only one of its service.
						subject = r.addServer("desk")
						time.Sleep(time.Second)
						first.silent = true
						first.Drain()
					case nothing:
					}
				}
				act(c.before)
				if !c.unseen {
					time.Sleep(returnBound)
				}
				subject.silent = subject.silent || c.silent
				began, requests := time.Now(), r.sendPlain(1500*time.Millisecond+c.away+c.wait+lapseTime+2*returnBound)
				if !c.unseen {
					time.Sleep(1500 * time.Millisecond)
				}
				r.returnFrom(taken, c.storeReturn)
				returnedAt := time.Now()
				if c.unseen {
					// Its leaving is acknowledged once more.
					leftAt = returnedAt.Add(subject.delay)
				}
				if c.before == starts && c.silent {
					leftAt = returnedAt.Add(returnGrace)
				}
				time.Sleep(c.wait)
				act(c.after)
				refused := requests()
				late := 0
				for _, e := range r.executions.Executions() {
					if e.Server == subject.id && !leftAt.IsZero() && e.At.After(leftAt.Add(returnBound)) {
						late++
					}
				}
				r.g.Expect(late).To(BeZero(), "requests that reached %s later than %s after it left", subject.id, returnBound)
				if c.before == starts && c.after == nothing && !c.silent {
					r.g.Expect(refused).To(BeEmpty(), "requests refused while their server served, since %s", began)
				}
			})
		})
	}
}

// sendPlain sends requests to the fronts in turn for a time; end waits for the last one and returns the
// moments and results of those that were not served.
func (r *returnRig) sendPlain(span time.Duration) (end func() []string) {
	const requestInterval = 25 * time.Millisecond
	began, finished := time.Now(), make(chan []string, 1)
	path := fmt.Sprintf("/v%d/x", r.version)
	r.clients.Go(func() {
		var refused []string
		for n := 0; time.Since(began) < span; n++ {
			if status, _, err := r.send(fmt.Sprintf("front-%d", n%3+1), path, fmt.Sprintf("plain-%d", n)); err != nil || status != http.StatusOK {
				refused = append(refused, fmt.Sprintf("after %s: %d %v", time.Since(began), status, err))
			}
			time.Sleep(requestInterval)
		}
		finished <- refused
	})
	return func() []string { return <-finished }
}

// TestReturnOfTheStoreCausesFewCalls guards against fronts that read everything again in a loop (issue 57).
func TestReturnOfTheStoreCausesFewCalls(t *testing.T) {
	const (
		// span is the time after the return in which calls count, and maxCalls bounds those of each front in it.
		span     = 10 * time.Second
		maxCalls = 100
		// maxLines bounds the lines of each front on each return.
		maxLines = 2
	)
	for _, c := range []struct {
		name string
		storeReturn
		returns int
		slow    bool
	}{
		{"away for a second", storeReturn{time.Second, kvsim.LeasesGone}, 1, false},
		{"at once", storeReturn{0, kvsim.LeasesGone}, 1, false},
		{"leases run on", storeReturn{time.Second, kvsim.LeasesKept}, 1, false},
		{"keys outlive their leases", storeReturn{time.Second, kvsim.LeasesLapse}, 1, false},
		{"twice", storeReturn{time.Second, kvsim.LeasesGone}, 2, false},
		{"slow links", storeReturn{time.Second, kvsim.LeasesGone}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withReturns(t, 3, c.slow, true, func(r *returnRig) {
				time.Sleep(settleTime)
				taken := r.memory.Copy()
				r.fill(r.revision() + 40)
				time.Sleep(returnBound)
				for range c.returns {
					r.returnFrom(taken, c.storeReturn)
				}
				before := r.memory.Calls()
				time.Sleep(span)
				after := r.memory.Calls()
				calls := after.Reads - before.Reads + after.Writes - before.Writes + after.Watches - before.Watches + after.Leases - before.Leases
				r.g.Expect(calls).To(BeNumerically("<=", 3*maxCalls))
				r.g.Expect(r.lost.Len()).To(BeNumerically("<=", 3*maxLines*c.returns), "lines that tell of lost history")
			})
		})
	}
}

// TestFrontsStayRegisteredWhenLeasesAreGivenOutAgain guards against fronts that renew or release the lease
// of another front, which has got the number of theirs after the store's return.
func TestFrontsStayRegisteredWhenLeasesAreGivenOutAgain(t *testing.T) {
	for away := range 5 {
		t.Run(fmt.Sprintf("away for %d ms", 500+100*away), func(t *testing.T) {
			withReturns(t, 0, false, true, func(r *returnRig) {
				taken := r.memory.Copy()
				for n := range 3 {
					r.startFront(fmt.Sprintf("front-%d", n+1))
					time.Sleep(130 * time.Millisecond)
				}
				time.Sleep(settleTime)
				r.returnFrom(taken, storeReturn{500*time.Millisecond + time.Duration(away)*100*time.Millisecond, kvsim.LeasesGone})
				time.Sleep(settleTime)
				missing := func(names ...string) (out []string) {
					for _, name := range names {
						if _, ok := r.memory.ValueIgnoringFaults(follow.FrontPrefix + name); !ok {
							out = append(out, name)
						}
					}
					return out
				}
				r.g.Expect(missing("front-1", "front-2", "front-3")).To(BeEmpty(), "fronts that the store doesn't list")
				r.fronts["front-1"].candidate.Resign(r.ctx)
				time.Sleep(10 * time.Millisecond)
				r.g.Expect(missing("front-2", "front-3")).To(BeEmpty(), "fronts whose lease front-1 has released")
			})
		})
	}
}

// TestRoutesAddedAfterTheStoreReturnsFromACopyAreNotRefused guards against proper requests that are answered with
// 404 (DENIED).
func TestRoutesAddedAfterTheStoreReturnsFromACopyAreNotRefused(t *testing.T) {
	withReturns(t, 3, false, true, func(r *returnRig) {
		time.Sleep(settleTime)
		taken := r.memory.Copy()
		r.fill(r.revision() + 40)
		r.writeVersion(2)
		time.Sleep(returnBound)
		r.forget(2)
		r.returnFrom(taken, storeReturn{away: time.Second})
		r.writeVersion(3)
		time.Sleep(contact)
		denied := map[string]int{}
		for name := range r.running() {
			for n := range 10 {
				status, _, err := r.send(name, "/v3/x", fmt.Sprintf("new-%s-%d", name, n))
				r.g.Expect(err).NotTo(HaveOccurred())
				if status == http.StatusNotFound {
					denied[name]++
				}
			}
		}
		r.g.Expect(denied).To(BeEmpty())
	})
}
