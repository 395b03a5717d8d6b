package orders

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
	"foxtailcroft/internal/policy/pace"
	"foxtailcroft/internal/standin/platf"
	"foxtailcroft/platform"
	"foxtailcroft/platform/mimic"
	"foxtailcroft/test/draws"
	"foxtailcroft/test/pipes"
)

const (
	loadTime    = 800 * time.Millisecond
	adapterSize = 66.0
	modelSize   = 70000.0
	turnGap     = 3 * time.Second
)

// yard is a site with model servers and planners in one synctest bubble.
type yard struct {
	g       *WithT
	ctx     context.Context
	net     *pipes.Network
	memory  *platf.Memory
	book    *mimic.Book
	servers []*mimic.Server
	ends    []func()
	// checksFence says that the servers refuse old fencing numbers.
	checksFence bool
	fronts      []*planning
	// looks counts the looks of planners at the state.
	looks atomic.Int64
	group conc.WaitGroup
}

// planning is one front as far as orders go.
type planning struct {
	follower *follow.Follower
	lead     *Lead
	planner  *Planner
	// cut keeps the front from the store.
	cut    *cutStore
	cancel context.CancelFunc
	// frozen is the time in which the front's machine stood still, in nanoseconds.
	frozen atomic.Int64
}

// cutStore is a store that one front may not reach.
type cutStore struct {
	*platf.Memory
	away *platf.Memory
	on   atomic.Bool
}

func (c *cutStore) reach() *platf.Memory {
	if c.on.Load() {
		return c.away
	}
	return c.Memory
}

func (c *cutStore) KeepAlive(ctx context.Context, id int64) (bool, error) {
	return c.reach().KeepAlive(ctx, id)
}

func (c *cutStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	return c.reach().Commit(ctx, t)
}

func (c *cutStore) Grant(ctx context.Context, d time.Duration) (int64, error) {
	return c.reach().Grant(ctx, d)
}

func (c *cutStore) Watch(ctx context.Context, prefix string, after int64, fn func(store.Batch) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.reach().Watch(ctx, prefix, after, fn)
}

// open lets a test play on a site of servers and fronts; models m0.. lie one a server, with the next two on its disk.
func open(t *testing.T, servers, fronts, models int, test func(*yard)) {
	openWith(t, true, servers, fronts, models, test)
}

func openWith(t *testing.T, checksFence bool, servers, fronts, models int, test func(*yard)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		y := &yard{g: NewWithT(t), ctx: ctx, net: pipes.New(), memory: platf.NewMemory(1), book: &mimic.Book{}, checksFence: checksFence}
		doc := `{"version":1,"routes":[],"services":[{"name":"llm","engine":{"slots":8,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[`
		for i := range models {
			if i > 0 {
				doc += ","
			}
			doc += fmt.Sprintf(`{"name":"m%d","weightsMb":%f,"loadS":0.8,"diskS":0.8,"warmS":0.8,"adapters":20,"adapterMb":%f}`, i, modelSize, adapterSize)
		}
		_, err := y.memory.Commit(ctx, store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: []byte(doc + `]}}],"limits":{}}`)}}})
		y.g.Expect(err).NotTo(HaveOccurred())
		for i := range servers {
			y.addServer(i, 1, fmt.Sprintf("m%d", i%models))
		}
		for i := range fronts {
			y.addFront(i)
		}
		defer func() {
			cancel()
			y.group.Wait()
			y.net.Close()
			time.Sleep(time.Minute)
		}()
		test(y)
	})
}

// addServer starts a server; one with the id of an older one takes its place.
func (y *yard) addServer(i int, born int64, models ...string) {
	sizes := map[string]float64{}
	for n := range 40 {
		sizes[fmt.Sprintf("m%d", n)] = modelSize
	}
	address := fmt.Sprintf("10.0.0.%d:80", i+1)
	var s *mimic.Server
	write := func() {
		// Announcements go past the store's faults, as servers write for themselves.
		_, _ = y.memory.Commit(y.ctx, store.Txn{Puts: []store.Put{{Key: s.Key(), Value: s.Announcement()}}})
	}
	s = mimic.NewServer(mimic.Spec{
		ID: fmt.Sprintf("i-%d", i), Born: born, Service: "llm", Address: address, Zone: "a", Slots: 8, Sizes: sizes, WeightsMb: 220000,
		AdapterSlots: 8, LoadTime: loadTime, AdapterTime: 8 * time.Millisecond, EventTime: 20 * time.Millisecond, ChecksFence: y.checksFence, AdapterSizeMb: adapterSize,
	}, y.book, write, models...)
	end := y.net.Serve(address, s)
	write()
	if i < len(y.servers) {
		y.servers[i], y.ends[i] = s, end
		return
	}
	y.servers, y.ends = append(y.servers, s), append(y.ends, end)
}

func (y *yard) addFront(i int) {
	ctx, cancel := context.WithCancel(y.ctx)
	began := time.Now()
	away := platf.NewMemory(1)
	away.SetFaults(platf.Faults{Away: true})
	p := &planning{cut: &cutStore{Memory: y.memory, away: away}, cancel: cancel}
	name, log := fmt.Sprintf("front-%d", i), zap.NewNop().Sugar()
	layout := follow.Layout{DocumentKey: platform.ConfigKey, InstancePrefix: platform.ServerPrefix, Prefixes: []string{platform.OperatorPrefix, platform.ServerPrefix, follow.OwnPrefix}}
	p.follower = follow.New(name, p.cut, platform.Dialect{}, layout, follow.Times{Returning: 2 * time.Second, Gather: 600 * time.Millisecond}, log)
	p.lead = NewLead(LeadOptions{
		Name: name, Address: name + ":1", MinLease: time.Second,
		Boot: func() time.Duration { return time.Since(began) + time.Duration(p.frozen.Load()) },
	}, p.cut, p.follower.State, log)
	pool, closePool := conns.New(y.net.Dial, metrics.NewSet())
	var closePlanner func()
	p.planner, closePlanner = New(Settings{Node: name, ChecksFence: y.checksFence, LoadWindow: 5 * time.Second, TurnGap: turnGap}, p.lead, func() *follow.State {
		y.looks.Add(1)
		return p.follower.State()
	}, pool, platform.Dialect{}, metrics.NewSet(), log)
	for _, run := range []func(context.Context){p.follower.Run, p.lead.Run, p.planner.Run, p.planner.RunReports} {
		y.group.Go(func() { run(ctx) })
	}
	y.group.Go(func() {
		<-ctx.Done()
		closePlanner()
		closePool()
	})
	y.fronts = append(y.fronts, p)
}

// planner returns the front that plans, as every front sees it in the end.
func (y *yard) planner() *planning {
	for range 200 {
		for _, p := range y.fronts {
			if p.planner.leads() {
				return p
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	y.g.Fail("nobody plans")
	return nil
}

func (y *yard) want(model, adapter string, wait time.Duration) (peers.Found, error) {
	return y.planner().planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: model, Name: adapter}, Wait: wait, Answer: wait})
}

func TestMissingModelIsLoadedWhileRequestsWait(t *testing.T) {
	open(t, 2, 1, 6, func(y *yard) {
		time.Sleep(5 * time.Second)
		began := time.Now()
		var group conc.WaitGroup
		for range 8 {
			group.Go(func() {
				found, err := y.want("m5", "", 4*time.Second)
				y.g.Expect(err).NotTo(HaveOccurred())
				y.g.Expect(found.Instances).To(HaveLen(1))
			})
		}
		group.Wait()
		y.g.Expect(time.Since(began)).To(BeNumerically("<", loadTime+300*time.Millisecond))
		y.g.Expect(y.book.Broken()).To(BeEmpty())
	})
}

func TestAdaptersBeyondThePlacesTakeTurns(t *testing.T) {
	open(t, 1, 1, 1, func(y *yard) {
		time.Sleep(5 * time.Second)
		for i := range 20 {
			found, err := y.want("m0", fmt.Sprintf("a%d", i+1), 2*time.Second)
			y.g.Expect(err).NotTo(HaveOccurred())
			y.g.Expect(found.Instances).To(HaveLen(1), "adapter %d", i+1)
		}
		y.g.Expect(y.book.Broken()).To(BeEmpty())
	})
}

// TestPlannerFindsBackIntoStep gives orders behind the planner's back, so that
// the number of orders it knows is too high or too low.
func TestPlannerFindsBackIntoStep(t *testing.T) {
	for _, off := range []int64{-2, 3} {
		open(t, 1, 1, 1, func(y *yard) {
			time.Sleep(5 * time.Second)
			p := y.planner().planner
			p.mu.Lock()
			for _, s := range p.servers {
				s.sequence += off
			}
			p.mu.Unlock()
			found, err := y.want("m0", "a1", 3*time.Second)
			y.g.Expect(err).NotTo(HaveOccurred())
			y.g.Expect(found.Instances).To(HaveLen(1), "off by %d", off)
		})
	}
}

func TestDeadServerIsReplaced(t *testing.T) {
	open(t, 3, 1, 3, func(y *yard) {
		time.Sleep(5 * time.Second)
		y.ends[0]()
		found, err := y.planner().planner.Want(y.ctx, peers.Want{
			Service: "llm", Target: site.Adapter{Model: "m0"}, Wait: 5 * time.Second, Answer: 5 * time.Second, Avoid: []site.Key{{ID: "i-0", Born: 1}},
		})
		y.g.Expect(err).NotTo(HaveOccurred())
		y.g.Expect(found.Instances).NotTo(ContainElement(site.Key{ID: "i-0", Born: 1}))
		y.g.Expect(found.Instances).NotTo(BeEmpty())
	})
}

func TestPlannerCutFromTheStoreIsFollowedByAnother(t *testing.T) {
	open(t, 2, 3, 6, func(y *yard) {
		first := y.planner()
		time.Sleep(4 * time.Second)
		first.cut.on.Store(true)
		time.Sleep(4 * time.Second)
		var next *planning
		for _, p := range y.fronts {
			if p != first && p.planner.leads() {
				next = p
			}
		}
		y.g.Expect(next).NotTo(BeNil())
		found, err := next.planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: "m5"}, Wait: 5 * time.Second, Answer: 5 * time.Second})
		y.g.Expect(err).NotTo(HaveOccurred())
		y.g.Expect(found.Instances).NotTo(BeEmpty())
		fences := map[string]int64{}
		for _, o := range y.book.Orders() {
			y.g.Expect(o.Fence).To(BeNumerically(">=", fences[o.Server]))
			fences[o.Server] = o.Fence
		}
	})
}

// TestTurnsOfPlannersWhereFencesAreNotChecked cuts planners from the store one
// after another: orders of two planners to one server are a turn's gap apart.
func TestTurnsOfPlannersWhereFencesAreNotChecked(t *testing.T) {
	openWith(t, false, 2, 3, 8, func(y *yard) {
		var group conc.WaitGroup
		for round := range 6 {
			y.planner().cut.on.Store(round%2 == 0)
			for i := range 60 {
				for _, p := range y.fronts {
					group.Go(func() {
						_, _ = p.planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: fmt.Sprintf("m%d", i%8)}, Wait: time.Second, Answer: time.Second})
					})
				}
				time.Sleep(100 * time.Millisecond)
			}
			for _, p := range y.fronts {
				p.cut.on.Store(false)
			}
		}
		group.Wait()
		last := map[string]mimic.Ordered{}
		turns := 0
		for _, o := range y.book.Orders() {
			if before, ok := last[o.Server]; ok && before.Holder != o.Holder {
				turns++
				y.g.Expect(o.At.Sub(before.At)).To(BeNumerically(">=", turnGap), "%s after %s at %s", o.Holder, before.Holder, o.Server)
			}
			last[o.Server] = o
		}
		y.g.Expect(turns).To(BeNumerically(">", 0))
	})
}

// TestLoadsStayUnderTheStoresRate begins a load whenever one is allowed, with
// planners that follow each other: no window holds more than the store's rate allows.
func TestLoadsStayUnderTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := &site.Engine{LoadsPerSecond: 2.1}
		const window = 5 * time.Second
		p := &Planner{set: Settings{LoadWindow: window}, pace: pace.Known(4), servers: map[site.Key]*server{}}
		var begun []time.Time
		for i := range 400 {
			if i%150 == 149 {
				p = &Planner{set: p.set, pace: p.pace, servers: map[site.Key]*server{}}
				p.loads = slices.Repeat([]time.Time{time.Now()}, p.pace.AtOnce())
			}
			if p.loadsLeft(engine, time.Now()) > 0 {
				p.loads = append(p.loads, time.Now())
				begun = append(begun, time.Now())
			}
			in := 0
			for _, at := range begun {
				if time.Since(at) <= window {
					in++
				}
			}
			g.Expect(float64(in)).To(BeNumerically("<=", engine.LoadsPerSecond*window.Seconds()*1.1+3))
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(len(begun)).To(BeNumerically(">", 40))
	})
}

func TestAfterASuspensionTheLeaseIsRenewedBeforeOrders(t *testing.T) {
	open(t, 1, 1, 2, func(y *yard) {
		p := y.planner()
		time.Sleep(3 * time.Second)
		p.cut.on.Store(true)
		p.frozen.Store(int64(5 * time.Second))
		y.g.Expect(p.planner.leads()).To(BeFalse(), "the lease may be another's by now")
		p.cut.on.Store(false)
		time.Sleep(2 * time.Second)
		y.g.Expect(p.planner.leads()).To(BeTrue())
	})
}

// TestOrdersStayInBoundsUnderFaults draws lost and late orders, crashes under
// the same id, cut planners and a burst of wants, and checks that no server is
// ever ordered to hold more than fits, that no fence goes back, and that loads
// begin under the store's rate.
func TestOrdersStayInBoundsUnderFaults(t *testing.T) {
	t.Logf("FOXTAILCROFT_SEED=%d", draws.Seed())
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		open(t, 4, 3, 14, func(y *yard) { y.storm(rand.New(rand.NewPCG(seed, draws.Seed()))) })
	})
}

func (y *yard) storm(rnd *rand.Rand) {
	time.Sleep(3 * time.Second)
	var group conc.WaitGroup
	for range 60 {
		switch model := fmt.Sprintf("m%d", rnd.IntN(14)); rnd.IntN(10) {
		case 0:
			y.servers[rnd.IntN(len(y.servers))].SetFaults(mimic.Faults{LateOrders: 1 + rnd.IntN(2), LateBy: time.Duration(rnd.IntN(6000)) * time.Millisecond})
		case 1:
			i := rnd.IntN(len(y.servers))
			y.ends[i]()
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			y.addServer(i, time.Now().UnixMilli())
		case 2:
			p := y.fronts[rnd.IntN(len(y.fronts))]
			p.cut.on.Store(!p.cut.on.Load())
		default:
			adapter := ""
			if rnd.IntN(2) == 0 {
				adapter = fmt.Sprintf("a%d", rnd.IntN(20)+1)
			}
			for _, p := range y.fronts {
				group.Go(func() {
					_, _ = p.planner.Want(y.ctx, peers.Want{Service: "llm", Target: site.Adapter{Model: model, Name: adapter}, Wait: 3 * time.Second, Answer: time.Second})
				})
			}
		}
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
	}
	group.Wait()
	time.Sleep(15 * time.Second)
	y.g.Expect(y.book.Broken()).To(BeEmpty())
	fences := map[string]int64{}
	holders := map[int64]string{}
	for _, o := range y.book.Orders() {
		if h, ok := holders[o.Fence]; ok {
			y.g.Expect(o.Holder).To(Equal(h), "one fence has one holder")
		}
		holders[o.Fence] = o.Holder
		fences[o.Server] = max(fences[o.Server], o.Fence)
	}
}
