package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/test/seeds"
)

// TestSequenceCountsWhatTheServerCounts guards against a sequence number that runs ahead of the server's
// (LIMIT, review/8): an order that held already is not counted, but for the unload of an adapter it held.
func TestSequenceCountsWhatTheServerCounts(t *testing.T) {
	model, adapter := site.Target{Model: "m"}, site.Target{Model: "m", Name: "a"}
	for _, c := range []struct {
		name     string
		order    site.Order
		outcome  site.OrderOutcome
		unlisted bool
		counted  int64
	}{
		{"load accepted", site.Order{Target: model}, site.Accepted, false, 1},
		{"load held already", site.Order{Target: model}, site.AlreadyDone, false, 0},
		{"load without an answer", site.Order{Target: model}, site.Unknown, false, 0},
		{"unload accepted", site.Order{Unload: true, Target: model}, site.Accepted, false, 1},
		{"unload held already", site.Order{Unload: true, Target: model}, site.AlreadyDone, false, 0},
		{"unload without an answer", site.Order{Unload: true, Target: model}, site.Unknown, false, 0},
		{"adapter load accepted", site.Order{Target: adapter}, site.Accepted, false, 1},
		{"adapter load held already", site.Order{Target: adapter}, site.AlreadyDone, false, 0},
		{"adapter unload accepted", site.Order{Unload: true, Target: adapter}, site.Accepted, false, 1},
		{"idle adapter unloaded at once", site.Order{Unload: true, Target: adapter}, site.AlreadyDone, false, 1},
		{"adapter unload held already: the last report lacks it", site.Order{Unload: true, Target: adapter}, site.AlreadyDone, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			s := newServer(site.Instance{})
			s.known, s.sequence, c.order.Sequence = true, 5, 5
			s.models["m"], s.adapters[adapter] = existingOrNew(nil, now), existingOrNew(nil, now)
			if c.unlisted {
				s.adapters[adapter].unlistedSince = now
			}
			s.applyAnswer(c.order, c.outcome, now)
			NewWithT(t).Expect(s.sequence).To(Equal(5 + c.counted))
		})
	}
}

// TestLateUnloadIsSeen guards against a model that stays in the view after a late unload (LIMIT, review/8).
func TestLateUnloadIsSeen(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	s := newServer(site.Instance{})
	read := func(after time.Duration, sequence int64, models ...string) {
		g.Expect(s.applyReport(site.ServerReport{Sequence: sequence, Models: models}, now.Add(after), now.Add(after))).To(BeTrue())
	}
	read(0, 1, "m0", "m1")
	s.applyAnswer(site.Order{Unload: true, Target: site.Target{Model: "m0"}, Sequence: 1}, site.Unknown, now)
	read(2*time.Second, 2, "m0", "m1")
	g.Expect(s.unexplainedAt).To(BeZero(), "the order without an answer explains the number")
	read(3*time.Second, 2, "m1")
	g.Expect(s.models).To(HaveKey("m0"), "a list may lag")
	read(3*time.Second+maxListLag, 2, "m1")
	g.Expect(s.modelNames()).To(Equal([]string{"m1"}))
}

// TestUnansweredLoadKeepsItsRoom guards against orders that fill the room of a load that the server may
// still carry out (LIMIT, review/8).
func TestUnansweredLoadKeepsItsRoom(t *testing.T) {
	e := testEngine()
	load := func(model string) site.Order { return site.Order{Target: site.Target{Model: model}} }
	report := func(s *server, after time.Duration, sequence int64, models ...string) {
		at := time.Unix(1000, 0).Add(after)
		s.applyReport(site.ServerReport{Sequence: sequence, Models: models}, at, at)
	}
	for _, c := range []struct {
		name string
		then func(*server)
		free bool
	}{
		{"no report", func(*server) {}, false},
		{"the server has accepted none", func(s *server) { report(s, time.Second, 5, "m0", "m1") }, false},
		{"an older report", func(s *server) { report(s, time.Second, 4, "m0", "m1") }, false},
		{"the server has accepted one, its list may lag", func(s *server) { report(s, time.Second, 6, "m0", "m1") }, false},
		{"the server has accepted one and lists it", func(s *server) { report(s, time.Second, 6, "m0", "m1", "m2") }, false},
		{"the server has accepted one, and its list is lasting", func(s *server) {
			report(s, time.Second, 6, "m0", "m1")
			report(s, time.Second+maxListLag, 6, "m0", "m1")
		}, true},
		{"another order with the number is accepted", func(s *server) {
			o := site.Order{Unload: true, Target: site.Target{Model: "m1"}, Sequence: 5}
			s.applyAnswer(o, site.Accepted, time.Unix(1001, 0))
			report(s, 2*time.Second, 6, "m0")
		}, true},
		{"that acceptance is refuted", func(s *server) {
			o := site.Order{Unload: true, Target: site.Target{Model: "m9"}, Sequence: 5}
			s.applyAnswer(o, site.Accepted, time.Unix(1001, 0))
			report(s, 4*time.Second, 5, "m0", "m1")
			report(s, 5*time.Second, 5, "m0", "m1")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newServer(site.Instance{})
			report(s, 0, 5, "m0", "m1")
			o := load("m2")
			o.Sequence = 5
			s.applyAnswer(o, site.Unknown, time.Unix(1000, 0))
			c.then(s)
			s.outcomeUnknown = false
			g.Expect(s.allowsOrder(load("m3"), e)).To(Equal(c.free))
			if !c.free && s.models["m2"] == nil {
				g.Expect(s.allowsOrder(load("m2"), e)).To(BeTrue(), "the same load needs no further room")
			}
		})
	}
}

// TestUnexplainedOrdersStopLoads guards against loads beside what unknown orders have brought to a server, as
// those of another planner (LIMIT).
func TestUnexplainedOrdersStopLoads(t *testing.T) {
	unload := func(sequence int64) site.Order {
		return site.Order{Unload: true, Target: site.Target{Model: "m1"}, Sequence: sequence}
	}
	for _, c := range []struct {
		name string
		// sent are the sequence numbers of orders without an answer, and inFlight that of one on its way, 0 for none.
		sent     []int64
		inFlight int64
		// reported is the server's number of accepted orders, which was 5.
		reported int64
		stopped  bool
	}{
		{"none was accepted", nil, 0, 5, false},
		{"the one without an answer", []int64{5}, 0, 6, false},
		{"the one on its way", nil, 5, 6, false},
		{"both", []int64{5}, 6, 7, false},
		{"an unknown one", nil, 0, 6, true},
		{"one without an answer, and an unknown one", []int64{5}, 0, 7, true},
		{"an unknown one before the one without an answer", []int64{6}, 0, 7, true},
		{"the one on its way, and an unknown one", nil, 5, 7, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, s := NewWithT(t), newServer(site.Instance{})
			report := func(after time.Duration, sequence int64) {
				at := time.Unix(1000, 0).Add(after)
				s.applyReport(site.ServerReport{Sequence: sequence, Models: []string{"m0"}}, at, at)
			}
			report(0, 5)
			for _, n := range c.sent {
				s.recordSent(unload(n), false, time.Unix(1000, 0))
			}
			if c.inFlight > 0 {
				o := unload(c.inFlight)
				s.inFlight = &o
			}
			report(time.Second, c.reported)
			load := site.Order{Target: site.Target{Model: "m2"}}
			g.Expect(s.allowsOrder(load, testEngine())).To(Equal(!c.stopped))
			report(time.Second+maxListLag, c.reported)
			g.Expect(s.allowsOrder(load, testEngine())).To(BeTrue(), "by then lists show what the order has brought")
		})
	}
}

// TestNothingIsEvictedForLoadsThatSettle guards against evictions for a model whose load reports are about
// to show or rule out.
func TestNothingIsEvictedForLoadsThatSettle(t *testing.T) {
	load := site.Order{Target: site.Target{Model: "m2"}, Sequence: 5}
	for _, c := range []struct {
		name  string
		order site.Order
		// reported is the server's number of accepted orders, which was 5, and models what it lists.
		reported int64
		models   []string
		settles  bool
	}{
		{"not accepted yet", load, 5, []string{"m0"}, false},
		{"accepted, the list may lag", load, 6, []string{"m0"}, true},
		{"accepted and listed", load, 6, []string{"m0", "m2"}, false},
		{"an adapter", site.Order{Target: site.Target{Model: "m0", Name: "a0"}, Sequence: 5}, 6, []string{"m0"}, false},
		{"an unload", site.Order{Unload: true, Target: site.Target{Model: "m0"}, Sequence: 5}, 6, []string{"m0"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(site.Instance{})
			report := func(after time.Duration, sequence int64, models []string) {
				at := time.Unix(1000, 0).Add(after)
				s.applyReport(site.ServerReport{Sequence: sequence, Models: models}, at, at)
			}
			report(0, 5, []string{"m0"})
			s.recordSent(c.order, false, time.Unix(1000, 0))
			report(time.Second, c.reported, c.models)
			p := &Planner{state: func() *follow.State { return &follow.State{} }}
			NewWithT(t).Expect(p.policyView(s, time.Unix(1001, 0)).Settling).To(Equal(c.settles))
		})
	}
}

func testEngine() *site.Engine {
	e := &site.Engine{WeightsMB: 220000, MaxLoadedAdapters: 3}
	for i := range 6 {
		e.Models = append(e.Models, site.Model{Name: fmt.Sprintf("m%d", i), SizeMB: 70000, AdapterMB: 66, AdapterCount: 6})
	}
	return e
}

// modelServer is a model server whose time is set by the test; it counts orders beyond its room.
type modelServer struct {
	r        *rand.Rand
	engine   *site.Engine
	models   map[string]bool
	adapters map[site.Target]bool
	sequence int64
	accepted int
	breaches int
	// order is the one in progress, nil if there is none, and until its end.
	order *site.Order
	until time.Duration
	// past are the lists from some times on; reports give one that was valid a while before.
	past []pastList
}

type pastList struct {
	from     time.Duration
	busy     bool
	models   []string
	adapters []site.Target
}

func (m *modelServer) keep(now time.Duration) {
	m.past = append(m.past, pastList{now, m.order != nil, slices.Sorted(maps.Keys(m.models)), slices.Collect(maps.Keys(m.adapters))})
}

// advance completes the order in progress if its time is over.
func (m *modelServer) advance(now time.Duration) {
	if m.order == nil || now < m.until {
		return
	}
	model, ended := m.order.Target.Model, m.until
	if m.order.Unload {
		delete(m.models, model)
		maps.DeleteFunc(m.adapters, func(a site.Target, _ bool) bool { return a.Model == model })
	} else {
		m.models[model] = true
	}
	m.order = nil
	m.keep(ended)
}

func (m *modelServer) execute(o site.Order, now time.Duration) site.OrderOutcome {
	m.advance(now)
	held := m.models[o.Target.Model]
	if o.Target.Name != "" {
		if !held {
			return site.Invalid
		}
		held = m.adapters[o.Target]
	}
	switch {
	case m.order != nil || o.Sequence != m.sequence:
		return site.Conflict
	case o.Unload != held:
		return site.AlreadyDone
	}
	m.sequence++
	m.accepted++
	defer m.keep(now)
	switch {
	case o.Target.Name != "" && o.Unload:
		delete(m.adapters, o.Target)
		return site.AlreadyDone
	case o.Target.Name != "":
		m.adapters[o.Target] = true
	default:
		m.order, m.until = &o, now+time.Duration(m.r.Int64N(int64(2*time.Second)))
	}
	used := len(m.models)
	if m.order != nil && !m.order.Unload {
		used++
	}
	if float64(used)*70000+float64(len(m.adapters))*66 > m.engine.WeightsMB || len(m.adapters) > m.engine.MaxLoadedAdapters {
		m.breaches++
	}
	return site.Accepted
}

// report gives the number of accepted orders as it is, and the lists as they were a while before.
func (m *modelServer) report(now time.Duration) site.ServerReport {
	m.advance(now)
	seen := now - time.Duration(m.r.Int64N(int64(700*time.Millisecond)))
	list := m.past[0]
	for _, x := range m.past {
		if x.from <= seen {
			list = x
		}
	}
	return site.ServerReport{Sequence: m.sequence, Busy: list.busy, Models: list.models, Adapters: list.adapters}
}

// orderRun plays one planner after the other against a model server. Of its orders half get no answer, and
// are carried out at once, late or never.
type orderRun struct {
	r      *rand.Rand
	now    time.Duration
	server *modelServer
	view   *server
	// late are the orders that are still to be carried out, and reports those on their way.
	late    []lateOrder
	reports []lateReport
}

type lateOrder struct {
	at    time.Duration
	order site.Order
}

type lateReport struct {
	at, requested time.Duration
	report        site.ServerReport
}

func (x *orderRun) time(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// step lets some time pass and then sends an order that the view allows, if there is one.
func (x *orderRun) step() {
	x.now += time.Duration(x.r.Int64N(int64(400 * time.Millisecond)))
	x.carryOutLate()
	slices.SortFunc(x.reports, func(a, b lateReport) int { return int(a.at - b.at) })
	for len(x.reports) > 0 && x.reports[0].at <= x.now {
		r := x.reports[0]
		x.view.applyReport(r.report, x.time(r.requested), x.time(r.at))
		x.reports = x.reports[1:]
	}
	if x.r.IntN(3) == 0 {
		requested := x.now - time.Duration(x.r.Int64N(int64(100*time.Millisecond)))
		x.reports = append(x.reports, lateReport{x.now + time.Duration(x.r.Int64N(int64(800*time.Millisecond))), requested, x.server.report(x.now)})
	}
	if x.r.IntN(60) == 0 {
		x.takeOver()
	}
	x.send()
}

// carryOutLate carries out the late orders whose time has come.
func (x *orderRun) carryOutLate() {
	slices.SortFunc(x.late, func(a, b lateOrder) int { return int(a.at - b.at) })
	for len(x.late) > 0 && x.late[0].at <= x.now {
		x.server.execute(x.late[0].order, x.late[0].at)
		x.late = x.late[1:]
	}
}

// takeOver replaces the planner by one that knows the orders without an answer, once its lease has ended.
func (x *orderRun) takeOver() {
	x.now += maxListLag
	p, next := &Planner{servers: map[site.InstanceKey]*server{{ID: "i"}: x.view}}, &Planner{sentBefore: map[site.InstanceKey][]sentOrder{}}
	next.inheritOrders(p.unansweredOrders(x.time(x.now)), x.time(x.now))
	next.adoptOrders(x.time(x.now))
	x.view = newServer(site.Instance{})
	x.view.sent = next.takeSent(site.InstanceKey{ID: "i"})
	x.reports = nil
	x.carryOutLate()
}

func (x *orderRun) send() {
	var orders []site.Order
	for _, m := range x.server.engine.Models {
		for _, t := range []site.Target{{Model: m.Name}, {Model: m.Name, Name: "a0"}, {Model: m.Name, Name: "a1"}, {Model: m.Name, Name: "a2"}} {
			orders = append(orders, site.Order{Target: t}, site.Order{Target: t, Unload: true})
		}
	}
	x.r.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
	for _, o := range orders {
		if !x.view.allowsOrder(o, x.server.engine) {
			continue
		}
		o.Sequence = x.view.sequence
		outcome := site.Unknown
		switch n := x.r.IntN(8); {
		case n < 4:
			outcome = x.server.execute(o, x.now)
		case n < 5:
			x.server.execute(o, x.now)
		case n < 7:
			x.late = append(x.late, lateOrder{x.now + time.Duration(x.r.Int64N(int64(12*time.Second))), o})
		}
		switch outcome {
		case site.Conflict:
			x.view.resync = true
		case site.Invalid:
		default:
			x.view.applyAnswer(o, outcome, x.time(x.now))
		}
		return
	}
}

// TestLateOrdersOverfillNoServer guards against orders beyond a server's room (LIMIT, review/8), whatever
// becomes of their answers, in whichever order reports arrive, and whoever is the planner.
func TestLateOrdersOverfillNoServer(t *testing.T) {
	const runs, steps = 100, 1500
	accepted := 0
	for run := range runs {
		r := rand.New(rand.NewPCG(seeds.FromEnvironment(), uint64(run)))
		m := &modelServer{r: r, engine: testEngine(), models: map[string]bool{"m0": true, "m1": true}, adapters: map[site.Target]bool{}}
		m.keep(0)
		x := &orderRun{r: r, server: m, view: newServer(site.Instance{})}
		for range steps {
			x.step()
		}
		NewWithT(t).Expect(m.breaches).To(BeZero(), "run %d", run)
		accepted += m.accepted
	}
	NewWithT(t).Expect(accepted).To(BeNumerically(">", runs*steps/30), "reserved room is not kept for ever")
}

// TestPublishedOrdersDoNotMultiply guards against a list of orders without an answer that grows with each status
// that is published, also where their server is gone.
func TestPublishedOrdersDoNotMultiply(t *testing.T) {
	runCluster(t, 2, 2, 2, func(c *cluster) {
		time.Sleep(5 * time.Second)
		p := c.leader().planner
		gone := site.InstanceKey{ID: "i-9", Born: 1}
		p.mu.Lock()
		p.keepSent(gone, []sentOrder{{order: site.Order{Target: site.Target{Model: "m1"}, Sequence: 3}, sentAt: time.Now()}}, time.Now())
		p.mu.Unlock()
		for range 20 {
			status := p.ApplyUsage(peers.UsageReport{Front: "front-next"})
			c.g.Expect(status.Unanswered).To(HaveLen(1))
			for _, f := range c.fronts {
				f.planner.InheritStatus(status)
			}
		}
		time.Sleep(maxSentAge)
		c.g.Expect(p.ApplyUsage(peers.UsageReport{Front: "front-next"}).Unanswered).To(BeEmpty())
	})
}
