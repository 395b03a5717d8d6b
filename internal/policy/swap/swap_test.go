package swap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/internal/core/site"
)

// catalogue is an engine like that of the sites: three models fit a server.
func catalogue(models int) *site.Engine {
	e := &site.Engine{Slots: 64, WeightsMB: 220000, AdapterPlaces: 8, LoadsPerSecond: 2.1}
	for i := range models {
		e.Models = append(e.Models, site.Model{
			Name: fmt.Sprintf("m%d", i), SizeMB: 72700, Adapters: 20, AdapterMB: 66,
			FromStore: 6 * time.Second, FromDisk: 840 * time.Millisecond, FromMemory: 400 * time.Millisecond,
		})
	}
	return e
}

func TestDecisions(t *testing.T) {
	old := time.Minute
	held := func(model string, inFlight int) Copy {
		return Copy{Model: model, InFlight: inFlight, Age: old, Idle: old}
	}
	cases := []struct {
		name string
		in   Input
		want []Action
	}{
		{"a free place and the disk first", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4,
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 0)}}, {ID: "b", Copies: []Copy{held("m1", 0)}, OnDisk: []string{"m5"}}},
		}, []Action{{Server: "b", Load: "m5", Source: FromDisk, Takes: 840 * time.Millisecond}}},
		{"the copy that is one too many makes way, not the last one", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, Demand: map[string]Demand{"m0": {Rate: 1}, "m1": {Rate: 0.5}, "m2": {Rate: 0.5}},
			Servers: []Server{
				{ID: "a", Copies: []Copy{held("m0", 0), held("m1", 0), held("m2", 0)}, OnDisk: []string{"m5"}},
				{ID: "b", Copies: []Copy{held("m0", 0), held("m3", 0), held("m4", 0)}},
			},
		}, []Action{{Server: "a", Evict: []string{"m0"}, Load: "m5", Source: FromDisk, Takes: 890 * time.Millisecond}}},
		{"nothing that runs requests makes way, only a forecast says when there is room", Input{
			Wants:   []Want{{Model: "m5", Weight: 1}},
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 3), held("m1", 9), held("m2", 5)}, OnDisk: []string{"m5"}}},
		}, []Action{{Server: "a", Load: "m5", Source: FromDisk, Takes: 5390 * time.Millisecond, Later: true}}},
		{"no second load of a model that is on its way", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4,
			Servers: []Server{{ID: "a", Engaged: true, Awaited: "m5"}, {ID: "b", OnDisk: []string{"m5"}}},
		}, nil},
		{"a copy that serves does not make way for one that is still being loaded", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, Demand: map[string]Demand{"m0": {Rate: 3}, "m1": {Rate: 0.5}},
			Servers: []Server{
				{ID: "a", Copies: []Copy{held("m0", 0), held("m1", 0), held("m2", 0)}, OnDisk: []string{"m5", "m2"}},
				{ID: "b", Engaged: true, Awaited: "m0", FreeIn: 4 * time.Second},
			},
		}, []Action{{Server: "a", Evict: []string{"m2"}, Load: "m5", Source: FromDisk, Takes: 890 * time.Millisecond}}},
		{"a long load not where adapters are asked for", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 1, Demand: map[string]Demand{"m0": {Rate: 1, Adapters: 6}, "m1": {Rate: 1}},
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 0)}}, {ID: "b", Copies: []Copy{held("m1", 0)}}},
		}, []Action{{Server: "b", Load: "m5", Source: FromStore, Takes: 6 * time.Second}}},
		{"no load from the store if a server with the weights is free sooner", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4,
			Servers: []Server{{ID: "a", Engaged: true, Awaited: "m1", FreeIn: 600 * time.Millisecond, OnDisk: []string{"m5"}}, {ID: "b"}},
		}, []Action{{Server: "a", Load: "m5", Source: FromDisk, Takes: 1440 * time.Millisecond, Later: true}}},
		{"but if nobody knows when it will be free", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4,
			Servers: []Server{{ID: "a", Engaged: true, FreeIn: -1, OnDisk: []string{"m5"}}, {ID: "b"}},
		}, []Action{{Server: "b", Load: "m5", Source: FromStore, Takes: 6 * time.Second}}},
		{"a load from the store not at the server that alone has another wanted model", Input{
			Wants: []Want{{Model: "m5", Weight: 2}}, StoreLoads: 1, Demand: map[string]Demand{"m4": {Rate: 0.5}},
			Servers: []Server{{ID: "a", OnDisk: []string{"m4"}}, {ID: "b", Copies: []Copy{held("m1", 0)}, OnDisk: []string{"m1"}}},
		}, []Action{{Server: "b", Load: "m5", Source: FromStore, Takes: 6 * time.Second}, {Server: "a", Load: "m4", Source: FromDisk, Takes: 840 * time.Millisecond}}},
		{"no load from the store if a server with the weights has room soon", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4,
			Servers: []Server{
				{ID: "a", Copies: []Copy{{Model: "m0", Age: time.Second}, held("m1", 5), held("m2", 5)}, OnDisk: []string{"m5"}}, {ID: "b"},
			},
		}, []Action{{Server: "a", Load: "m5", Source: FromDisk, Takes: 1390 * time.Millisecond, Later: true}}},
		{"but not for ever", Input{
			Wants: []Want{{Model: "m5", Weight: 1, Waited: 2 * time.Second}}, StoreLoads: 4,
			Servers: []Server{
				{ID: "a", Copies: []Copy{{Model: "m0", Age: time.Second}, held("m1", 5), held("m2", 5)}, OnDisk: []string{"m5"}}, {ID: "b"},
			},
		}, []Action{{Server: "b", Load: "m5", Source: FromStore, Takes: 6 * time.Second}}},
		{"a load from the store not at the server that alone has a model which may be asked for", Input{
			Wants: []Want{{Model: "m5", Weight: 2}}, StoreLoads: 1, Demand: map[string]Demand{"m0": {Rate: 1}},
			Servers: []Server{
				{ID: "a", OnDisk: []string{"m4"}}, {ID: "b", Copies: []Copy{held("m0", 0)}, OnDisk: []string{"m0"}}, {ID: "c", Copies: []Copy{held("m1", 0), held("m2", 0), held("m3", 0)}},
			},
		}, []Action{{Server: "b", Load: "m5", Source: FromStore, Takes: 6 * time.Second}, {Server: "a", Load: "m4", Source: FromDisk, Takes: 840 * time.Millisecond}}},
		{"no load from the store before enough is known", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4, Keep: true, Servers: []Server{{ID: "a"}, {ID: "b", Engaged: true, FreeIn: -1}},
		}, nil},
		{"nor of what a server has that is about to be free", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4, Keep: true,
			Servers: []Server{{ID: "a"}, {ID: "b", Copies: []Copy{held("m0", 0), held("m1", 0), held("m2", 0)}, OnDisk: []string{"m5"}}},
		}, nil},
		{"but of what nobody has", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, StoreLoads: 4, Keep: true, Servers: []Server{{ID: "a"}},
		}, []Action{{Server: "a", Load: "m5", Source: FromStore, Takes: 6 * time.Second}}},
		{"no load from the store beyond its rate", Input{
			Wants: []Want{{Model: "m5", Weight: 1}}, Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 0)}}},
		}, nil},
		{"a busy model gets the copies that its demand needs", Input{
			Demand: map[string]Demand{"m0": {Rate: 8}},
			Servers: []Server{
				{ID: "a", Copies: []Copy{held("m0", 9)}},
				{ID: "b", Copies: []Copy{held("m1", 0), held("m2", 0), held("m3", 0)}, OnDisk: []string{"m0"}},
			},
		}, []Action{{Server: "b", Evict: []string{"m1"}, Load: "m0", Source: FromDisk, Takes: 890 * time.Millisecond}}},
		{"a model that nobody has is loaded where there is room", Input{
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 0)}, OnDisk: []string{"m1"}}},
		}, []Action{{Server: "a", Load: "m1", Source: FromDisk, Takes: 840 * time.Millisecond}}},
		{"the one load from the store goes to the busy model that nobody has", Input{
			Wants: []Want{{Model: "m4", Weight: 1}, {Model: "m5", Weight: 6}}, StoreLoads: 1, AtOnce: 1,
			Demand:  map[string]Demand{"m5": {Rate: 10}, "m4": {Rate: 0.1}, "m0": {Rate: 8}},
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 9)}}, {ID: "b", Copies: []Copy{held("m1", 0)}}},
		}, []Action{{Server: "a", Load: "m5", Source: FromStore, Takes: 6 * time.Second}}},
		{"and to the busy model with one copy before a rare one", Input{
			Wants: []Want{{Model: "m4", Weight: 1}}, StoreLoads: 1, AtOnce: 1, Demand: map[string]Demand{"m0": {Rate: 16}, "m4": {Rate: 0.1}},
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 9)}}, {ID: "b", Copies: []Copy{held("m1", 0)}}},
		}, []Action{{Server: "b", Load: "m0", Source: FromStore, Takes: 6 * time.Second}}},
		{"a busy model whose one copy is where streams pause gets another", Input{
			Demand: map[string]Demand{"m0": {Rate: 3}},
			Servers: []Server{
				{ID: "a", Slow: 1, Copies: []Copy{held("m0", 4)}, OnDisk: []string{"m0"}},
				{ID: "b", Copies: []Copy{held("m1", 0), held("m2", 0), held("m3", 0)}, OnDisk: []string{"m0"}},
			},
		}, []Action{{Server: "b", Evict: []string{"m1"}, Load: "m0", Source: FromDisk, Takes: 890 * time.Millisecond}}},
		{"a busy model goes where streams do not pause, also if that takes longer", Input{
			Wants: []Want{{Model: "m0", Weight: 2}}, Demand: map[string]Demand{"m0": {Rate: 3}},
			Servers: []Server{
				{ID: "a", Slow: 1, InMemory: []string{"m0"}}, {ID: "b", OnDisk: []string{"m0"}},
			},
		}, []Action{{Server: "b", Load: "m0", Source: FromDisk, Takes: 840 * time.Millisecond}}},
		{"a rare one does not mind", Input{
			Wants: []Want{{Model: "m0", Weight: 1}}, Demand: map[string]Demand{"m0": {Rate: 0.1}},
			Servers: []Server{
				{ID: "a", Slow: 1, InMemory: []string{"m0"}}, {ID: "b", OnDisk: []string{"m0"}},
			},
		}, []Action{{Server: "a", Load: "m0", Source: FromMemory, Takes: 400 * time.Millisecond}}},
		{"a planner that knows no demand yet evicts nothing", Input{
			Keep: true, Wants: []Want{{Model: "m5", Weight: 1}},
			Servers: []Server{{ID: "a", Copies: []Copy{held("m0", 0), held("m1", 0), held("m2", 0)}, OnDisk: []string{"m5"}}},
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Engine = catalogue(6)
			NewWithT(t).Expect(Decide(c.in)).To(Equal(c.want))
		})
	}
}

// TestDecisionsStayInBounds draws states: no server gets two orders or more
// than fits, and nothing that is wanted or runs requests makes way.
func TestDecisionsStayInBounds(t *testing.T) {
	engine := catalogue(12)
	name := func(i int) string { return fmt.Sprintf("m%d", i) }
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		in := Input{Engine: engine, Demand: map[string]Demand{}, StoreLoads: rapid.IntRange(0, 4).Draw(rt, "loads")}
		for i := range rapid.IntRange(1, 6).Draw(rt, "servers") {
			s := Server{ID: fmt.Sprintf("s%d", i), Engaged: rapid.Bool().Draw(rt, "engaged"), FreeIn: time.Duration(rapid.IntRange(-1, 5).Draw(rt, "free")) * time.Second}
			for _, m := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 3, rapid.ID[int]).Draw(rt, "held") {
				s.Copies = append(s.Copies, Copy{Model: name(m), InFlight: rapid.IntRange(0, 5).Draw(rt, "flight"), Age: time.Minute})
			}
			for _, m := range rapid.SliceOfN(rapid.IntRange(0, 11), 0, 5).Draw(rt, "disk") {
				s.OnDisk = append(s.OnDisk, name(m))
			}
			in.Servers = append(in.Servers, s)
		}
		for _, m := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 5, rapid.ID[int]).Draw(rt, "wants") {
			in.Wants = append(in.Wants, Want{Model: name(m), Weight: 1})
		}
		for i := range 12 {
			in.Demand[name(i)] = Demand{Rate: rapid.Float64Range(0, 12).Draw(rt, "rate")}
		}
		seen := map[string]bool{}
		store := 0
		for _, a := range Decide(in) {
			if a.Later {
				continue
			}
			g.Expect(seen[a.Server]).To(BeFalse(), "one action a server")
			seen[a.Server] = true
			i := slices.IndexFunc(in.Servers, func(s Server) bool { return s.ID == a.Server })
			used := 0.0
			for _, c := range in.Servers[i].Copies {
				if slices.Contains(a.Evict, c.Model) {
					g.Expect(c.InFlight).To(BeNumerically("<=", maxInFlight))
					g.Expect(newDecision(in).of(c.Model).wanted).To(BeFalse())
					continue
				}
				used += 72700
				g.Expect(c.Model).NotTo(Equal(a.Load))
			}
			g.Expect(in.Servers[i].Engaged).To(BeFalse())
			g.Expect(used + 72700).To(BeNumerically("<=", engine.WeightsMB))
			if a.Source == FromStore {
				store++
			}
		}
		g.Expect(store).To(BeNumerically("<=", in.StoreLoads))
	})
}

// TestRareAndBusyModelsTogether plays the sites' load: 39 models on 36 places,
// two busy models that move on, and rare ones asked for at any time. Most rare
// requests find their model within the goal, and busy models keep the copies
// that their demand needs; without the demand they lose them.
func TestRareAndBusyModelsTogether(t *testing.T) {
	g := NewWithT(t)
	with := playDay(7, true)
	without := playDay(7, false)
	t.Logf("seed 7: rare in time %.3f, busy copies short %.3f of the time; without demand %.3f and %.3f",
		with.rareInTime, with.busyShort, without.rareInTime, without.busyShort)
	g.Expect(with.rareInTime).To(BeNumerically(">=", 0.9), "the quote's goal is 2.5 s")
	g.Expect(with.busyShort).To(BeNumerically("<=", 0.25))
	g.Expect(without.busyShort).To(BeNumerically(">", with.busyShort))
}

type day struct {
	rareInTime float64
	busyShort  float64
}

// fleet is a small simulation of model servers that swap by the policy.
type fleet struct {
	engine  *site.Engine
	servers []Server
	ready   []time.Duration
	asked   map[string][]time.Duration
}

const (
	tick     = 50 * time.Millisecond
	dayTime  = 40 * time.Second
	rareRate = 3.2
	busyRate = 8.0
	patience = 2500 * time.Millisecond
)

func newFleet(rnd *rand.Rand) *fleet {
	f := &fleet{engine: catalogue(39), asked: map[string][]time.Duration{}, ready: make([]time.Duration, 12)}
	for i := range 12 {
		s := Server{ID: fmt.Sprintf("s%02d", i)}
		for _, m := range []int{i % 3, 3 + 2*i, 4 + 2*i} {
			s.Copies = append(s.Copies, Copy{Model: fmt.Sprintf("m%d", m), Age: time.Minute, Idle: time.Minute})
			s.OnDisk = append(s.OnDisk, fmt.Sprintf("m%d", m))
		}
		for range 8 {
			s.OnDisk = append(s.OnDisk, fmt.Sprintf("m%d", rnd.IntN(39)))
		}
		f.servers = append(f.servers, s)
	}
	return f
}

// advance lets a tick pass; loads that end put their model in place.
func (f *fleet) advance(now time.Duration) {
	for i := range f.servers {
		s := &f.servers[i]
		for j := range s.Copies {
			s.Copies[j].Age += tick
			s.Copies[j].Idle += tick
		}
		if s.Engaged && now >= f.ready[i] {
			s.Copies = append(s.Copies, Copy{Model: s.Awaited})
			s.OnDisk = append(s.OnDisk, s.Awaited)
			s.Engaged, s.Awaited = false, ""
		}
	}
}

func (f *fleet) carryOut(list []Action, now time.Duration) {
	for _, a := range list {
		if a.Later {
			continue
		}
		i := slices.IndexFunc(f.servers, func(s Server) bool { return s.ID == a.Server })
		s := &f.servers[i]
		s.Copies = slices.DeleteFunc(s.Copies, func(c Copy) bool { return slices.Contains(a.Evict, c.Model) })
		s.Engaged, s.Awaited, f.ready[i] = true, a.Load, now+a.Takes
	}
}

func (f *fleet) holds(model string) bool {
	in := Input{Engine: f.engine, Servers: f.servers}
	return slices.ContainsFunc(in.Servers, func(s Server) bool {
		return slices.ContainsFunc(s.Copies, func(c Copy) bool { return c.Model == model })
	})
}

func playDay(seed uint64, knowsDemand bool) day {
	rnd := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(rnd)
	var served, rare, short, looks int
	waiting := map[string][]time.Duration{}
	for now := time.Duration(0); now < dayTime; now += tick {
		f.advance(now)
		busy := []string{fmt.Sprintf("m%d", int(now/(13*time.Second))), fmt.Sprintf("m%d", 1+int(now/(13*time.Second)))}
		if rnd.Float64() < rareRate*tick.Seconds() {
			m := fmt.Sprintf("m%d", 5+rnd.IntN(34))
			waiting[m] = append(waiting[m], now)
			rare++
		}
		in := Input{Engine: f.engine, Servers: f.servers, StoreLoads: 2, Demand: map[string]Demand{}}
		for m, since := range waiting {
			if !f.holds(m) {
				in.Wants = append(in.Wants, Want{Model: m, Weight: float64(len(since))})
				continue
			}
			for _, at := range since {
				if now-at <= patience {
					served++
				}
			}
			delete(waiting, m)
		}
		for _, m := range busy {
			if knowsDemand {
				in.Demand[m] = Demand{Rate: busyRate}
			}
			if !f.holds(m) {
				in.Wants = append(in.Wants, Want{Model: m, Weight: busyRate})
			}
			looks++
			if x := newDecision(in).of(m); x.serving+x.coming < 3 {
				short++
			}
		}
		f.carryOut(Decide(in), now)
	}
	return day{rareInTime: float64(served) / float64(rare), busyShort: float64(short) / float64(looks)}
}
