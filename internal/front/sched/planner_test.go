package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"foxtailcroft/internal/back/conns"
	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/follow"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/policy/loads"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/memnet"
	"foxtailcroft/test/seeds"
)

const (
	loadTime      = 800 * time.Millisecond
	adapterSizeMB = 66.0
	modelSizeMB   = 70000.0
	handoverDelay = 3 * time.Second
)

// cluster is a set of model servers and planners on one network and one store, in a
// synctest bubble.
type cluster struct {
	// version is the JSON value of the version of servers that are added, empty for the usual one.
	version  string
	g        *WithT
	ctx      context.Context
	net      *memnet.Network
	memory   *kvsim.MemoryStore
	orderLog *fake.ExecutionLog
	servers  []*fake.Server
	stops    []func()
	// checksFence makes the servers reject old fencing tokens.
	checksFence bool
	// reportLag is how far the servers' reports lag behind their states.
	reportLag time.Duration
	fronts    []*testFront
	// stateReads counts the planners' reads of the shared state.
	stateReads atomic.Int64
	group      conc.WaitGroup
}

// testFront is the part of a front that takes part in planning.
type testFront struct {
	follower  *follow.Follower
	candidate *Candidate
	planner   *Planner
	// store is the front's access to the store, which can be partitioned.
	store  *partitionableStore
	cancel context.CancelFunc
	// suspendedNanos is how long the front's machine was suspended, in nanoseconds.
	suspendedNanos atomic.Int64
}

// partitionableStore is one front's access to the store. While partitioned is set, its
// calls go to a store that is unavailable.
type partitionableStore struct {
	*kvsim.MemoryStore
	unreachable *kvsim.MemoryStore
	partitioned atomic.Bool
	// steady is set if watch calls go on without end; otherwise each fails after a second.
	steady atomic.Bool
}

func (c *partitionableStore) current() *kvsim.MemoryStore {
	if c.partitioned.Load() {
		return c.unreachable
	}
	return c.MemoryStore
}

func (c *partitionableStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	return c.current().KeepAlive(ctx, id)
}

func (c *partitionableStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	return c.current().Commit(ctx, t)
}

func (c *partitionableStore) Grant(ctx context.Context, d time.Duration) (int64, error) {
	return c.current().Grant(ctx, d)
}

func (c *partitionableStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	return c.current().Get(ctx, key)
}

func (c *partitionableStore) Range(ctx context.Context, prefix string) (store.List, error) {
	return c.current().Range(ctx, prefix)
}

func (c *partitionableStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	if c.steady.Load() {
		return c.current().Watch(ctx, prefix, after, fn)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.current().Watch(ctx, prefix, after, fn)
}

// runCluster runs a test with the given numbers of servers, fronts and models. Server i
// has model i loaded, modulo the number of models.
func runCluster(t *testing.T, servers, fronts, models int, test func(*cluster)) {
	runClusterWith(t, true, servers, fronts, models, test)
}

func runClusterWith(t *testing.T, checksFence bool, servers, fronts, models int, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{g: NewWithT(t), ctx: ctx, net: memnet.New(), memory: kvsim.NewMemoryStore(1), orderLog: &fake.ExecutionLog{}, checksFence: checksFence}
		doc := `{"version":1,"routes":[{"name":"s","host":"h.example","pathPrefix":"/","kind":"streaming","timeoutMs":5000,"service":"llm","attempts":2,"canResume":true}],"services":[{"name":"llm","engine":{"slots":8,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[`
		for i := range models {
			if i > 0 {
				doc += ","
			}
			doc += fmt.Sprintf(`{"name":"m%d","weightsMb":%f,"loadS":0.8,"diskS":0.8,"warmS":0.8,"adapters":20,"adapterMb":%f}`, i, modelSizeMB, adapterSizeMB)
		}
		_, err := c.memory.Commit(ctx, store.Txn{Puts: []store.Put{{Key: platform.DocumentKey, Value: []byte(doc + `]}}],"limits":{}}`)}}})
		c.g.Expect(err).NotTo(HaveOccurred())
		for i := range servers {
			c.addServer(i, 1, fmt.Sprintf("m%d", i%models))
		}
		for i := range fronts {
			c.addFront(i)
		}
		defer func() {
			cancel()
			c.group.Wait()
			c.net.Close()
			time.Sleep(time.Minute)
		}()
		test(c)
	})
}

// addServer starts server i; it replaces an earlier one with the same number.
func (c *cluster) addServer(i int, born int64, models ...string) {
	sizes := map[string]float64{}
	for n := range 40 {
		sizes[fmt.Sprintf("m%d", n)] = modelSizeMB
	}
	address := fmt.Sprintf("10.0.0.%d:80", i+1)
	var s *fake.Server
	announce := func() {
		// Servers write their own announcements, so these bypass the fronts' partitions.
		_, _ = c.memory.Commit(c.ctx, store.Txn{Puts: []store.Put{{Key: s.Key(), Value: s.Announcement()}}})
	}
	s = fake.NewServer(fake.Spec{
		ID: fmt.Sprintf("i-%d", i), Born: born, Service: "llm", Address: address, Zone: "a", Version: c.version, Slots: 8, Sizes: sizes, WeightsMb: 220000,
		AdapterSlots: 8, LoadTime: loadTime, AdapterTime: 8 * time.Millisecond, EventTime: 20 * time.Millisecond, ChecksFence: c.checksFence, AdapterSizeMb: adapterSizeMB, ReportLag: c.reportLag,
	}, c.orderLog, announce, models...)
	stop := c.net.Serve(address, s)
	announce()
	if i < len(c.servers) {
		c.servers[i], c.stops[i] = s, stop
		return
	}
	c.servers, c.stops = append(c.servers, s), append(c.stops, stop)
}

func (c *cluster) addFront(i int) {
	ctx, cancel := context.WithCancel(c.ctx)
	began := time.Now()
	unreachable := kvsim.NewMemoryStore(1)
	unreachable.SetFaults(kvsim.Faults{Away: true})
	p := &testFront{store: &partitionableStore{MemoryStore: c.memory, unreachable: unreachable}, cancel: cancel}
	name, log := fmt.Sprintf("front-%d", i), zap.NewNop().Sugar()
	layout := follow.Layout{DocumentKey: platform.DocumentKey, InstancePrefix: platform.ServerPrefix, Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.SystemPrefix}}
	p.follower = follow.New(name, p.store, platform.Dialect{}, layout, follow.Delays{ReturnGrace: 2 * time.Second, BatchDelay: 600 * time.Millisecond}, log)
	p.candidate = NewCandidate(CandidateOptions{
		Name: name, Address: name + ":1", MinLeaseTTL: time.Second,
		SinceBoot: func() time.Duration { return time.Since(began) + time.Duration(p.suspendedNanos.Load()) },
	}, p.store, p.follower, log)
	pool, closePool := conns.New(c.net.Dial, metrics.NewSet())
	var closePlanner func()
	p.planner, closePlanner = New(Settings{Node: name, ChecksFence: c.checksFence, LoadWindow: 5 * time.Second, HandoverDelay: handoverDelay}, p.candidate, func() *follow.State {
		c.stateReads.Add(1)
		return p.follower.State()
	}, pool, platform.Dialect{}, metrics.NewSet(), log)
	for _, run := range []func(context.Context){p.follower.Run, p.candidate.Run, p.planner.Run, p.planner.RunReports} {
		c.group.Go(func() { run(ctx) })
	}
	c.group.Go(func() {
		<-ctx.Done()
		closePlanner()
		closePool()
	})
	c.fronts = append(c.fronts, p)
}

// leader returns the front that is the planner, and waits until there is one.
func (c *cluster) leader() *testFront {
	for range 200 {
		for _, p := range c.fronts {
			if p.planner.checkLeadership() {
				return p
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.g.Fail("no front became the planner within 10 s")
	return nil
}

func (c *cluster) want(model, adapter string, wait time.Duration) (peers.InstanceReply, error) {
	return c.leader().planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: site.Target{Model: model, Name: adapter}, Wait: wait, Answer: wait})
}

func TestMissingModelIsLoadedWhileRequestsWait(t *testing.T) {
	runCluster(t, 2, 1, 6, func(c *cluster) {
		time.Sleep(5 * time.Second)
		began := time.Now()
		var group conc.WaitGroup
		for range 8 {
			group.Go(func() {
				found, err := c.want("m5", "", 4*time.Second)
				c.g.Expect(err).NotTo(HaveOccurred())
				c.g.Expect(found.Instances).To(HaveLen(1))
			})
		}
		group.Wait()
		c.g.Expect(time.Since(began)).To(BeNumerically("<", loadTime+300*time.Millisecond))
		c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
	})
}

func TestAdaptersBeyondFreePlacesAreSwappedIn(t *testing.T) {
	runCluster(t, 1, 1, 1, func(c *cluster) {
		time.Sleep(5 * time.Second)
		for i := range 20 {
			found, err := c.want("m0", fmt.Sprintf("a%d", i+1), 2*time.Second)
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(found.Instances).To(HaveLen(1), "adapter %d", i+1)
		}
		c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
	})
}

// TestPlannerResynchronizesOrderSequence shifts the sequence number that the planner
// knows, as if it had missed orders or counted too many.
func TestPlannerResynchronizesOrderSequence(t *testing.T) {
	for _, offset := range []int64{-2, 3} {
		runCluster(t, 1, 1, 1, func(c *cluster) {
			time.Sleep(5 * time.Second)
			p := c.leader().planner
			p.mu.Lock()
			for _, s := range p.servers {
				s.sequence += offset
			}
			p.mu.Unlock()
			found, err := c.want("m0", "a1", 3*time.Second)
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(found.Instances).To(HaveLen(1), "sequence number off by %d", offset)
		})
	}
}

func TestDeadServerIsReplaced(t *testing.T) {
	runCluster(t, 3, 1, 3, func(c *cluster) {
		time.Sleep(5 * time.Second)
		c.stops[0]()
		found, err := c.leader().planner.RequestInstances(c.ctx, peers.InstanceRequest{
			Service: "llm", Target: site.Target{Model: "m0"}, Wait: 5 * time.Second, Answer: 5 * time.Second, Avoid: []site.InstanceKey{{ID: "i-0", Born: 1}},
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found.Instances).NotTo(ContainElement(site.InstanceKey{ID: "i-0", Born: 1}))
		c.g.Expect(found.Instances).NotTo(BeEmpty())
	})
}

func TestPlannerPartitionedFromStoreIsReplaced(t *testing.T) {
	runCluster(t, 2, 3, 6, func(c *cluster) {
		first := c.leader()
		time.Sleep(4 * time.Second)
		first.store.partitioned.Store(true)
		time.Sleep(4 * time.Second)
		var successor *testFront
		for _, p := range c.fronts {
			if p != first && p.planner.checkLeadership() {
				successor = p
			}
		}
		c.g.Expect(successor).NotTo(BeNil())
		found, err := successor.planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: site.Target{Model: "m5"}, Wait: 5 * time.Second, Answer: 5 * time.Second})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(found.Instances).NotTo(BeEmpty())
		fences := map[string]int64{}
		for _, o := range c.orderLog.Orders() {
			c.g.Expect(o.Fence).To(BeNumerically(">=", fences[o.Server]))
			fences[o.Server] = o.Fence
		}
	})
}

// TestHandoverDelayWithoutFenceChecks partitions planners from the store one after the
// other. The orders of two planners to one server must be at least handoverDelay apart.
func TestHandoverDelayWithoutFenceChecks(t *testing.T) {
	runClusterWith(t, false, 2, 3, 8, func(c *cluster) {
		var group conc.WaitGroup
		for round := range 6 {
			c.leader().store.partitioned.Store(round%2 == 0)
			for i := range 60 {
				for _, p := range c.fronts {
					group.Go(func() {
						_, _ = p.planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: site.Target{Model: fmt.Sprintf("m%d", i%8)}, Wait: time.Second, Answer: time.Second})
					})
				}
				time.Sleep(100 * time.Millisecond)
			}
			for _, p := range c.fronts {
				p.store.partitioned.Store(false)
			}
		}
		group.Wait()
		last := map[string]fake.AcceptedOrder{}
		handovers := 0
		for _, o := range c.orderLog.Orders() {
			if before, ok := last[o.Server]; ok && before.Holder != o.Holder {
				handovers++
				c.g.Expect(o.At.Sub(before.At)).To(BeNumerically(">=", handoverDelay), "%s after %s at %s", o.Holder, before.Holder, o.Server)
			}
			last[o.Server] = o
		}
		c.g.Expect(handovers).To(BeNumerically(">", 0))
	})
}

// TestLoadsStayWithinStoreRate starts a load whenever one is allowed, with planners
// succeeding each other. No window may contain more loads than the store's rate allows.
func TestLoadsStayWithinStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := &site.Engine{StoreLoadsPerSecond: 2.1}
		const window = 5 * time.Second
		p := &Planner{settings: Settings{LoadWindow: window}, storeConcurrency: loads.FromEstimate(4), servers: map[site.InstanceKey]*server{}}
		var begun []time.Time
		for i := range 400 {
			if i%150 == 149 {
				p = &Planner{settings: p.settings, storeConcurrency: p.storeConcurrency, servers: map[site.InstanceKey]*server{}}
				p.storeLoadStarts = slices.Repeat([]time.Time{time.Now()}, p.storeConcurrency.Limit())
			}
			if p.storeLoadsAllowed(engine, time.Now()) > 0 {
				p.storeLoadStarts = append(p.storeLoadStarts, time.Now())
				begun = append(begun, time.Now())
			}
			inWindow := 0
			for _, at := range begun {
				if time.Since(at) <= window {
					inWindow++
				}
			}
			g.Expect(float64(inWindow)).To(BeNumerically("<=", engine.StoreLoadsPerSecond*window.Seconds()*1.1+3))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(len(begun)).To(BeNumerically(">", 40))
	})
}

func TestSuspensionRequiresLeaseRenewalBeforeOrders(t *testing.T) {
	runCluster(t, 1, 1, 2, func(c *cluster) {
		p := c.leader()
		time.Sleep(3 * time.Second)
		p.store.partitioned.Store(true)
		p.suspendedNanos.Store(int64(5 * time.Second))
		c.g.Expect(p.planner.checkLeadership()).To(BeFalse(), "another front may hold the planner's key by now")
		p.store.partitioned.Store(false)
		time.Sleep(2 * time.Second)
		c.g.Expect(p.planner.checkLeadership()).To(BeTrue())
	})
}

// TestOrdersStayInBoundsUnderFaults injects delayed orders (some beyond their timeout),
// servers that restart under the same ID, partitioned planners and bursts of requests.
// It checks that no server is ordered to hold more than fits in its memory and adapter
// places, and that every fencing token belongs to one planner.
func TestOrdersStayInBoundsUnderFaults(t *testing.T) {
	t.Logf("FOXTAILCROFT_SEED=%d", seeds.FromEnvironment())
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		runCluster(t, 4, 3, 14, func(c *cluster) { c.injectFaults(rand.New(rand.NewPCG(seed, seeds.FromEnvironment()))) })
	})
}

func (c *cluster) injectFaults(rnd *rand.Rand) {
	time.Sleep(3 * time.Second)
	var group conc.WaitGroup
	for range 60 {
		switch model := fmt.Sprintf("m%d", rnd.IntN(14)); rnd.IntN(10) {
		case 0:
			c.servers[rnd.IntN(len(c.servers))].SetFaults(fake.Faults{LateOrders: 1 + rnd.IntN(2), LateBy: time.Duration(rnd.IntN(6000)) * time.Millisecond})
		case 1:
			i := rnd.IntN(len(c.servers))
			c.stops[i]()
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			c.addServer(i, time.Now().UnixMilli())
		case 2:
			p := c.fronts[rnd.IntN(len(c.fronts))]
			p.store.partitioned.Store(!p.store.partitioned.Load())
		default:
			adapter := ""
			if rnd.IntN(2) == 0 {
				adapter = fmt.Sprintf("a%d", rnd.IntN(20)+1)
			}
			for _, p := range c.fronts {
				group.Go(func() {
					_, _ = p.planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: site.Target{Model: model, Name: adapter}, Wait: 3 * time.Second, Answer: time.Second})
				})
			}
		}
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(15 * time.Second)
	c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
	fences := map[string]int64{}
	holders := map[int64]string{}
	for _, o := range c.orderLog.Orders() {
		if h, ok := holders[o.Fence]; ok {
			c.g.Expect(o.Holder).To(Equal(h), "a fencing token belongs to one planner")
		}
		holders[o.Fence] = o.Holder
		fences[o.Server] = max(fences[o.Server], o.Fence)
	}
}
