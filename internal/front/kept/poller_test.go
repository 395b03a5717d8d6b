package kept

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/memnet"
)

// deployment is a set of watchers, one a front, and of servers in one synctest bubble.
type deployment struct {
	g       *WithT
	net     *memnet.Network
	state   atomic.Pointer[follow.State]
	servers []*fake.Server
	log     *Log
	// watchers and ends are those of the running fronts, and the functions that stop them.
	watchers map[string]*Watcher
	ends     map[string]func()
}

const testServers = 4

// withDeployment runs a test with fronts that poll servers, and exchange news with the planner every half second.
func withDeployment(t *testing.T, maxCalls int, fronts []string, test func(*deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{g: NewWithT(t), net: memnet.New(), log: NewLog(), watchers: map[string]*Watcher{}, ends: map[string]func(){}}
		state := &follow.State{
			Fronts: map[string]follow.Front{}, Instances: map[string]site.Instance{},
			Document: &site.Document{Services: map[string]*site.Service{"llm": {Name: "llm", Engine: &site.Engine{KVCacheTokens: 100_000, MaxKeptEventCalls: maxCalls}}}},
		}
		for i := range testServers {
			in := site.Instance{InstanceKey: site.InstanceKey{ID: fmt.Sprint("i-", i), Born: 1}, Service: "llm", Address: fmt.Sprint("10.0.0.1:", 80+i)}
			s := fake.NewServer(fake.Spec{ID: in.ID, Service: "llm", Address: in.Address, KeptEvents: 2}, &fake.ExecutionLog{}, func() {}, "m")
			d.net.Serve(in.Address, s)
			d.servers = append(d.servers, s)
			state.Instances[in.ID] = in
		}
		for _, f := range fronts {
			state.Fronts[f] = follow.Front{Name: f}
		}
		d.state.Store(state)
		for _, f := range fronts {
			d.start(f)
		}
		defer d.net.Close()
		defer func() {
			for _, end := range d.ends {
				end()
			}
		}()
		test(d)
	})
}

// start starts a front's watcher.
func (d *deployment) start(name string) {
	pool, closePool := conns.New(d.net.Dial, metrics.NewSet())
	w := New(name, d.state.Load, pool, platform.Dialect{}, metrics.NewSet(), zap.NewNop().Sugar())
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { w.Run(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			w.ApplyReply("planner", d.log.Exchange(name, w.Report()))
		}
	})
	d.watchers[name] = w
	d.ends[name] = func() {
		cancel()
		group.Wait()
		closePool()
		delete(d.ends, name)
	}
}

// leave removes a front from the registered ones.
func (d *deployment) leave(name string) {
	s := *d.state.Load()
	s.Fronts = map[string]follow.Front{}
	for f, v := range d.state.Load().Fronts {
		if f != name {
			s.Fronts[f] = v
		}
	}
	d.state.Store(&s)
}

// known returns how much of a part a front knows to be kept at each server.
func (d *deployment) known(front, part string) []int {
	var out []int
	for i := range testServers {
		states, _ := d.watchers[front].State(nil, site.InstanceKey{ID: fmt.Sprint("i-", i), Born: 1}, []Hash{HashOf(site.Target{Model: "m"}, part)})
		out = append(out, states[0].Tokens)
	}
	return out
}

// observe tells all fronts of a prompt that begins with a part.
func (d *deployment) observe(part string) {
	for _, w := range d.watchers {
		w.Observe([]Hash{HashOf(site.Target{Model: "m"}, part), HashOf(site.Target{Model: "m"}, "end")})
	}
}

// keepEverywhere makes all servers keep a part, with one token more at each.
func (d *deployment) keepEverywhere(part string, tokens int) {
	d.observe(part)
	for i, s := range d.servers {
		s.Keep("m", tokens+i, part)
	}
}

func TestFrontsLearnWhatServersKeep(t *testing.T) {
	withDeployment(t, 12, []string{"a", "b", "c"}, func(d *deployment) {
		d.keepEverywhere("p", 100)
		time.Sleep(3 * time.Second)
		for f := range d.watchers {
			d.g.Expect(d.known(f, "p")).To(Equal([]int{100, 101, 102, 103}), "front %s", f)
		}
		d.servers[2].Drop("m", "p")
		time.Sleep(3 * time.Second)
		for f := range d.watchers {
			d.g.Expect(d.known(f, "p")).To(Equal([]int{100, 101, 0, 103}), "front %s", f)
		}
		time.Sleep(24 * time.Second)
		for _, s := range d.servers {
			calls, refused := s.KeptCalls()
			d.g.Expect(calls).To(BeNumerically("<=", 32), "one front polls a server, once a second")
			d.g.Expect(refused).To(BeZero())
		}
	})
}

// TestServersWithoutEventsAreNotPolled guards against calls where the document declares no cache events.
func TestServersWithoutEventsAreNotPolled(t *testing.T) {
	withDeployment(t, 0, []string{"a", "b"}, func(d *deployment) {
		d.keepEverywhere("p", 100)
		time.Sleep(5 * time.Second)
		for _, s := range d.servers {
			calls, _ := s.KeptCalls()
			d.g.Expect(calls).To(BeZero())
		}
		d.g.Expect(d.watchers["a"].Report()).To(BeNil())
	})
}

// TestNextFrontPollsAfterOneDies guards against servers that nobody polls after their front has died.
func TestNextFrontPollsAfterOneDies(t *testing.T) {
	withDeployment(t, 12, []string{"a", "b"}, func(d *deployment) {
		d.keepEverywhere("p", 100)
		time.Sleep(3 * time.Second)
		d.ends["a"]()
		d.keepEverywhere("q", 200)
		time.Sleep(2 * time.Second)
		d.g.Expect(d.known("b", "p")).To(Equal([]int{100, 101, 102, 103}))
		d.g.Expect(d.known("b", "q")).NotTo(Equal([]int{200, 201, 202, 203}), "some are a's until its registration ends")
		d.leave("a")
		time.Sleep(3 * time.Second)
		d.g.Expect(d.known("b", "q")).To(Equal([]int{200, 201, 202, 203}))
	})
}

// TestStaleNewsCountsLess guards against news of a front that is gone or can't reach the planner:
// the age of what others know grows.
func TestStaleNewsCountsLess(t *testing.T) {
	withDeployment(t, 12, []string{"a", "b"}, func(d *deployment) {
		d.keepEverywhere("p", 100)
		time.Sleep(3 * time.Second)
		d.ends["a"]()
		time.Sleep(40 * time.Second)
		old, fresh := 0, 0
		for i := range testServers {
			_, m := d.watchers["b"].State(nil, site.InstanceKey{ID: fmt.Sprint("i-", i), Born: 1}, nil)
			if m.NewsAge > 30*time.Second {
				old++
			}
			if m.NewsAge < 2*time.Second {
				fresh++
			}
		}
		d.g.Expect(old).To(BeNumerically(">", 0), "servers that a polled")
		d.g.Expect(old + fresh).To(Equal(testServers))
	})
}

func TestIndexIsDroppedAtAllFronts(t *testing.T) {
	cases := []struct {
		name   string
		act    func(*fake.Server)
		reason string
	}{
		{"gap", func(s *fake.Server) {
			// Published at once, as a poll between them would see a second gap.
			parts := make([]string, 200)
			for i := range parts {
				parts[i] = fmt.Sprint("x", i)
			}
			s.Keep("m", 1, parts...)
		}, "gap"},
		{"new epoch", func(s *fake.Server) { s.NewKeptEpoch() }, "new epoch"},
		{"no answers", func(s *fake.Server) { s.SetFaults(fake.Faults{HangKept: true}) }, "silent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withDeployment(t, 12, []string{"a", "b", "c"}, func(d *deployment) {
				d.keepEverywhere("p", 100)
				time.Sleep(3 * time.Second)
				c.act(d.servers[1])
				time.Sleep(10 * time.Second)
				drops := uint64(0)
				for f, w := range d.watchers {
					d.g.Expect(d.known(f, "p")).To(Equal([]int{100, 0, 102, 103}), "front %s", f)
					drops += w.meters.GetOrCreateCounter(`foxtailcroft_kept_drops_total{reason="` + c.reason + `"}`).Get()
				}
				d.g.Expect(drops).To(Equal(uint64(1)))
				d.servers[1].SetFaults(fake.Faults{})
				time.Sleep(3 * time.Second)
				d.observe("p")
				d.servers[1].Keep("m", 77, "p")
				time.Sleep(4 * time.Second)
				for f := range d.watchers {
					d.g.Expect(d.known(f, "p")).To(Equal([]int{100, 77, 102, 103}), "front %s", f)
				}
			})
		})
	}
}

// TestTrafficStaysWithinItsBudget guards against control traffic that grows with the servers' events.
func TestTrafficStaysWithinItsBudget(t *testing.T) {
	withDeployment(t, 12, []string{"a", "b", "c"}, func(d *deployment) {
		const seconds = 60
		for i := range seconds * 4 {
			for j := range 10 {
				d.keepEverywhere(fmt.Sprint("p", i, "-", j), 100)
			}
			time.Sleep(250 * time.Millisecond)
		}
		for f, w := range d.watchers {
			sent, received := w.bytesSent.Get(), w.bytesReceived.Get()
			t.Logf("front %s: %d bytes sent, %d received in %d s", f, sent, received, seconds)
			d.g.Expect(sent + received).To(BeNumerically("<=", 2048*seconds+sentBurst+receivedBurst))
			d.g.Expect(received).To(BeNumerically(">", 100*seconds))
		}
	})
}

// TestLostReportIsRepeated guards against changes that were in a report which the planner did not
// get, or that only the planner before it got.
func TestLostReportIsRepeated(t *testing.T) {
	g := NewWithT(t)
	w := New("f", func() *follow.State { return &follow.State{} }, nil, platform.Dialect{}, metrics.NewSet(), zap.NewNop().Sugar())
	w.active.Store(true)
	w.index.setInstances(map[site.InstanceKey]int{key: 100_000})
	w.index.setPolled(key, true)
	w.Observe([]Hash{HashOf(target, "a"), HashOf(target, "b")})
	w.index.apply(key, "f", site.KeptEvents{Epoch: "e", Events: []site.KeptEvent{event(1, "+", "a", 100)}}, time.Now())
	w.ApplyReply("run", &peers.KeptReply{})
	lost := w.Report()
	g.Expect(lost.New).To(HaveLen(1))
	g.Expect(w.Report().New).To(BeEmpty())
	w.ReportFailed(lost)
	g.Expect(w.Report().New).To(HaveLen(1))
	w.ApplyReply("run", &peers.KeptReply{})
	g.Expect(w.Report().New).To(BeEmpty())
	w.ApplyReply("next run", &peers.KeptReply{})
	g.Expect(w.Report().New).To(HaveLen(1))
}
