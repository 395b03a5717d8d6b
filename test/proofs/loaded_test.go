package proofs

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/kvsim"
)

// burst sends n requests at once through each entry and returns how they ended.
func (r *rig) burst(n int, a ask) []end {
	var mu sync.Mutex
	var ends []end
	var fns []func()
	for _, e := range r.allEntries() {
		for i := range n {
			one := a
			one.prompt = fmt.Sprintf("%s %s %d", a.prompt, e.name, i)
			fns = append(fns, func() {
				got := e.chat(one)
				if got.status == http.StatusOK && got.text != one.want() {
					got.code = "WrongAnswer"
				}
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, got)
			})
		}
	}
	at(fns...)
	return ends
}

func statuses(ends []end) map[string]int {
	out := map[string]int{}
	for _, e := range ends {
		out[fmt.Sprintf("%d%s", e.status, e.code)]++
	}
	return out
}

func TestBurstAtEveryEntryLoadsOnce(t *testing.T) {
	bubble(t, func(r *rig) {
		for i := range 4 {
			r.entry(fmt.Sprintf("entry-%d", i), fmt.Sprintf("d%d", i%3))
		}
		for i := range 3 {
			r.engineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), motorSettings())
		}
		r.put(r.entryNamed("entry-0"), model("quote", 20, 2))
		began := time.Now()
		ends := r.burst(64, ask{model: "quote", prompt: "burst", tokens: 4, timeout: 30 * time.Second})
		r.g.Expect(statuses(ends)).To(Equal(map[string]int{"200": 256}))
		r.g.Expect(r.loads()).To(Equal(1))
		t.Logf("burst of 256 over 4 entries: one load, last answer after %s", time.Since(began))
	})
}

func TestLoadedNeverPassesDecided(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"agent killed in mid-load and replaced", func(r *rig) {
			time.Sleep(time.Second)
			holder := r.holder("quote", 0)
			r.kill(r.agentNamed(holder).process)
			time.Sleep(500 * time.Millisecond)
			r.restart(holder)
		}},
		{"store away through all of it", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{Away: true})
		}},
		{"plan writes' answers lost", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.5})
			r.put(r.anyEntry(), model("other", 30, 2))
			r.put(r.anyEntry(), model("quote", 20, 1))
		}},
		{"slot moved in mid-burst, one entry cut off from the store", func(r *rig) {
			r.entryNamed("entry-1").gate.set(true)
			time.Sleep(time.Second)
			r.markLeaving(r.holder("quote", 0))
			time.Sleep(8 * time.Second)
			r.markLeaving(r.holder("quote", 0))
		}},
		{"planner cut off from the store past its lease, another takes over", func(r *rig) {
			r.entryNamed("entry-0").gate.set(true)
			time.Sleep(15 * time.Second)
			r.markLeaving(r.holder("quote", 0))
			r.entryNamed("entry-0").gate.set(false)
		}},
		{"two planners at once", func(r *rig) {
			// The holder goes on renewing its lease, whose key another entry now takes too.
			_, err := r.platform.Store.Commit(context.Background(), store.Txn{Deletes: []string{store.PlannerPrefix + "lease"}})
			r.g.Expect(err).NotTo(HaveOccurred())
			r.eventually(10*time.Second, func() string {
				if _, held := r.platform.Store.ValueIgnoringFaults(store.PlannerPrefix + "lease"); !held {
					return "no second planner"
				}
				return ""
			})
			r.markLeaving(r.holder("quote", 0))
			time.Sleep(10 * time.Second)
			r.put(r.anyEntry(), model("other", 30, 2), model("quote", 20, 1))
		}},
		{"holder of the slot parted from everyone", func(r *rig) {
			time.Sleep(2 * time.Second)
			holder := r.holder("quote", 0)
			for _, e := range []string{"entry-0", "entry-1"} {
				r.net.part("addr-"+holder, "addr-"+e)
			}
			r.markLeaving(holder)
		}},
		{"agent that confirmed a release restarts on a stale plan", func(r *rig) {
			holder := r.holder("quote", 0)
			r.markLeaving(holder)
			r.eventually(30*time.Second, func() string {
				if r.holder("quote", 0) == holder || r.holder("quote", 1) == holder {
					return "the slot has not moved"
				}
				return ""
			})
			r.kill(r.agentNamed(holder).process)
			r.platform.Store.SetFaults(kvsim.Faults{Away: true})
			r.restart(holder)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.entry("entry-0", "d0")
				r.entry("entry-1", "d1")
				for i := range 3 {
					r.engineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), motorSettings())
				}
				r.put(r.anyEntry(), model("quote", 20, 2))
				var ends []end
				at(
					func() { ends = r.burst(32, ask{model: "quote", prompt: "x", tokens: 4, timeout: 40 * time.Second}) },
					func() { c.fault(r) },
				)
				for _, e := range ends {
					r.g.Expect(e.took).To(BeNumerically("<=", 40*time.Second))
				}
				r.platform.Store.SetFaults(kvsim.Faults{})
				time.Sleep(40 * time.Second)
				t.Logf("ends %v, loads %d", statuses(ends), r.loads())
			})
		})
	}
}

// holder returns the endpoint of a slot in the store's plan.
func (r *rig) holder(model string, slot int) string {
	p := r.plan(model)
	if slot >= len(p.Slots) {
		return ""
	}
	return p.Slots[slot].Endpoint
}

// restart runs a new agent beside the same engine.
func (r *rig) restart(name string) *agentNode {
	return r.engineAgent(name, "d"+strings.TrimPrefix(name, "engine-"), r.motorSet[name])
}

// anyEntry returns the first entry by name.
func (r *rig) anyEntry() *entryNode {
	for i := range 10 {
		if e := r.entryNamed(fmt.Sprintf("entry-%d", i)); e != nil {
			return e
		}
	}
	return nil
}

// TestSlotMovesOnlyAfterItsHolderUnloaded moves the only slot of a model while long streams run on it and new requests come.
func TestSlotMovesOnlyAfterItsHolderUnloaded(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", motorSettings())
		r.engineAgent("engine-1", "d1", motorSettings())
		r.put(r.anyEntry(), model("m", 20, 1))
		holder := r.holder("m", 0)
		var fns []func()
		for i := range 20 {
			a := ask{model: "m", prompt: fmt.Sprint(i), tokens: 500, timeout: 60 * time.Second, stream: true}
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				got := r.anyEntry().chat(a)
				r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
				r.g.Expect(got.text).To(Equal(a.want()))
			})
		}
		fns = append(fns, func() {
			time.Sleep(6 * time.Second)
			r.markLeaving(holder)
		})
		at(fns...)
		r.g.Expect(r.holder("m", 0)).NotTo(Equal(holder))
		r.g.Expect(r.loads()).To(Equal(2))
	})
}

// TestNewVersionIsNotLoadedBesideTheOld replaces an agent and changes its
// model's version meanwhile, with an engine that still holds the old one.
func TestNewVersionIsNotLoadedBesideTheOld(t *testing.T) {
	bubble(t, func(r *rig) {
		s := motorSettings()
		s.UnloadTime = 3 * time.Second
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", s)
		r.put(r.anyEntry(), model("m", 20, 1))
		a := ask{model: "m", prompt: "x", tokens: 3, timeout: 40 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.kill(r.agentNamed("engine-0").process)
		next := model("m", 20, 1)
		next.Model.Version = "2"
		status, _ := r.anyEntry().send(next, "")
		r.g.Expect(status).To(Equal(http.StatusOK))
		r.restart("engine-0")
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.g.Expect(r.loads()).To(Equal(2))
	})
}

// TestAgentWakesNothingOnAStalePlan restarts the holder of a slot that has
// moved, where it reaches neither the store nor any node with the newer plan,
// beside an engine that would take its orders.
func TestAgentWakesNothingOnAStalePlan(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		stale := r.entry("entry-1", "d1")
		ignoring := motorSettings()
		ignoring.CheckFence = false
		r.engineAgent("engine-0", "d0", ignoring)
		r.engineAgent("engine-1", "d1", ignoring)
		r.put(r.anyEntry(), model("m", 20, 1))
		old := r.holder("m", 0)
		stale.gate.set(true)
		for _, name := range []string{"entry-0", "engine-0", "engine-1"} {
			r.net.part("addr-entry-1", "addr-"+name)
		}
		r.markLeaving(old)
		r.eventually(time.Minute, func() string {
			if h := r.holder("m", 0); h == "" || h == old {
				return "the slot has not moved"
			}
			return ""
		})
		a := ask{model: "m", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.kill(r.agentNamed(old).process)
		for _, name := range []string{"entry-0", r.holder("m", 0)} {
			r.net.part("addr-"+old, "addr-"+name)
		}
		r.net.heal("addr-entry-1", "addr-"+old)
		r.restartCutOff(old)
		time.Sleep(10 * time.Second)
		got := stale.chat(ask{model: "m", prompt: "y", tokens: 3, timeout: 8 * time.Second})
		r.g.Expect(got.status).NotTo(Equal(http.StatusOK))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(r.loads()).To(Equal(1))
	})
}
