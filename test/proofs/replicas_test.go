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

// burst sends n concurrent requests through each entry and returns their outcomes.
// A wrong text gets the error code WrongAnswer.
func (r *rig) burst(n int, a chatRequest) []outcome {
	var mu sync.Mutex
	var outcomes []outcome
	var fns []func()
	for _, e := range r.allEntries() {
		for i := range n {
			req := a
			req.prompt = fmt.Sprintf("%s %s %d", a.prompt, e.name, i)
			fns = append(fns, func() {
				got := e.chat(req)
				if got.status == http.StatusOK && got.text != req.wantText() {
					got.errorCode = "WrongAnswer"
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, got)
			})
		}
	}
	runAll(fns...)
	return outcomes
}

// countOutcomes counts outcomes by status and error code.
func countOutcomes(outcomes []outcome) map[string]int {
	out := map[string]int{}
	for _, got := range outcomes {
		out[fmt.Sprintf("%d%s", got.status, got.errorCode)]++
	}
	return out
}

// TestBurstAtEveryEntryLoadsOnce sends a burst for a cold model through four
// entries and checks that the model is loaded once.
func TestBurstAtEveryEntryLoadsOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		for i := range 4 {
			r.startEntry(fmt.Sprintf("entry-%d", i), fmt.Sprintf("d%d", i%3))
		}
		for i := range 3 {
			r.startEngineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), fastEngine())
		}
		r.applyAndWait(r.entryNamed("entry-0"), model("quote", 20, 2))
		began := time.Now()
		outcomes := r.burst(64, chatRequest{model: "quote", prompt: "burst", tokens: 4, timeout: 30 * time.Second})
		r.g.Expect(countOutcomes(outcomes)).To(Equal(map[string]int{"200": 256}))
		r.g.Expect(r.loadCount()).To(Equal(1))
		t.Logf("burst of 256 requests over 4 entries: one load, last answer after %s", time.Since(began))
	})
}

// TestLoadedReplicasNeverExceedPlannedSlots runs a burst under each fault. The rig
// compares the loaded replicas of each model with its planned slots all the time.
func TestLoadedReplicasNeverExceedPlannedSlots(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"agent killed during a load and restarted", func(r *rig) {
			time.Sleep(time.Second)
			holder := r.slotEndpoint("quote", 0)
			r.kill(r.agentNamed(holder).process)
			time.Sleep(500 * time.Millisecond)
			r.restart(holder)
		}},
		{"store unreachable during the whole burst", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{Away: true})
		}},
		{"store loses answers to plan writes", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.5})
			r.applyAndWait(r.anyEntry(), model("other", 30, 2))
			r.applyAndWait(r.anyEntry(), model("quote", 20, 1))
		}},
		{"slot moves during the burst, one entry cut off from the store", func(r *rig) {
			r.entryNamed("entry-1").gate.setCut(true)
			time.Sleep(time.Second)
			r.markLeaving(r.slotEndpoint("quote", 0))
			time.Sleep(8 * time.Second)
			r.markLeaving(r.slotEndpoint("quote", 0))
		}},
		{"planner cut off from the store beyond its lease, another entry takes over", func(r *rig) {
			r.entryNamed("entry-0").gate.setCut(true)
			time.Sleep(15 * time.Second)
			r.markLeaving(r.slotEndpoint("quote", 0))
			r.entryNamed("entry-0").gate.setCut(false)
		}},
		{"two planners at once", func(r *rig) {
			// The planner keeps renewing its lease, although its key is deleted and another
			// entry takes it.
			_, err := r.platform.Store.Commit(context.Background(), store.Txn{Deletes: []string{store.PlannerPrefix + "lease"}})
			r.g.Expect(err).NotTo(HaveOccurred())
			r.eventually(10*time.Second, func() string {
				if _, held := r.platform.Store.ValueIgnoringFaults(store.PlannerPrefix + "lease"); !held {
					return "no second planner"
				}
				return ""
			})
			r.markLeaving(r.slotEndpoint("quote", 0))
			time.Sleep(10 * time.Second)
			r.applyAndWait(r.anyEntry(), model("other", 30, 2), model("quote", 20, 1))
		}},
		{"endpoint with the slot partitioned from all entries", func(r *rig) {
			time.Sleep(2 * time.Second)
			holder := r.slotEndpoint("quote", 0)
			for _, e := range []string{"entry-0", "entry-1"} {
				r.net.partition("addr-"+holder, "addr-"+e)
			}
			r.markLeaving(holder)
		}},
		{"agent that confirmed a release restarts with a stale plan", func(r *rig) {
			holder := r.slotEndpoint("quote", 0)
			r.markLeaving(holder)
			r.eventually(30*time.Second, func() string {
				if r.slotEndpoint("quote", 0) == holder || r.slotEndpoint("quote", 1) == holder {
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
			inBubble(t, func(r *rig) {
				r.startEntry("entry-0", "d0")
				r.startEntry("entry-1", "d1")
				for i := range 3 {
					r.startEngineAgent(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), fastEngine())
				}
				r.applyAndWait(r.anyEntry(), model("quote", 20, 2))
				var outcomes []outcome
				runAll(
					func() {
						outcomes = r.burst(32, chatRequest{model: "quote", prompt: "x", tokens: 4, timeout: 40 * time.Second})
					},
					func() { c.fault(r) },
				)
				for _, got := range outcomes {
					r.g.Expect(got.elapsed).To(BeNumerically("<=", 40*time.Second))
				}
				r.platform.Store.SetFaults(kvsim.Faults{})
				time.Sleep(40 * time.Second)
				t.Logf("outcomes %v, loads %d", countOutcomes(outcomes), r.loadCount())
			})
		})
	}
}

// slotEndpoint returns the endpoint of a slot in the store's plan, or "" if the
// plan has no such slot.
func (r *rig) slotEndpoint(model string, slot int) string {
	p := r.storedPlan(model)
	if slot >= len(p.Slots) {
		return ""
	}
	return p.Slots[slot].Endpoint
}

// restart starts a new agent for an engine that has kept running.
func (r *rig) restart(name string) *agentNode {
	return r.startEngineAgent(name, "d"+strings.TrimPrefix(name, "engine-"), r.engineSettings[name])
}

// anyEntry returns the first live entry by name, or nil.
func (r *rig) anyEntry() *entryNode {
	for i := range 10 {
		if e := r.entryNamed(fmt.Sprintf("entry-%d", i)); e != nil {
			return e
		}
	}
	return nil
}

// TestSlotMovesOnlyAfterItsHolderUnloaded moves the only slot of a model during
// long streams and new requests. It checks that every answer is complete and that
// the model is loaded only once more.
func TestSlotMovesOnlyAfterItsHolderUnloaded(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", fastEngine())
		r.startEngineAgent("engine-1", "d1", fastEngine())
		r.applyAndWait(r.anyEntry(), model("m", 20, 1))
		holder := r.slotEndpoint("m", 0)
		var fns []func()
		for i := range 20 {
			a := chatRequest{model: "m", prompt: fmt.Sprint(i), tokens: 500, timeout: 60 * time.Second, stream: true}
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				got := r.anyEntry().chat(a)
				r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
				r.g.Expect(got.text).To(Equal(a.wantText()))
			})
		}
		fns = append(fns, func() {
			time.Sleep(6 * time.Second)
			r.markLeaving(holder)
		})
		runAll(fns...)
		r.g.Expect(r.slotEndpoint("m", 0)).NotTo(Equal(holder))
		r.g.Expect(r.loadCount()).To(Equal(2))
	})
}

// TestNewVersionIsNotLoadedBesideTheOld changes a model's version while its agent
// is down and the engine still holds the old version.
func TestNewVersionIsNotLoadedBesideTheOld(t *testing.T) {
	inBubble(t, func(r *rig) {
		s := fastEngine()
		s.UnloadTime = 3 * time.Second
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", s)
		r.applyAndWait(r.anyEntry(), model("m", 20, 1))
		a := chatRequest{model: "m", prompt: "x", tokens: 3, timeout: 40 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.kill(r.agentNamed("engine-0").process)
		next := model("m", 20, 1)
		next.Model.Version = "2"
		status, _ := r.anyEntry().putOnce(next, "")
		r.g.Expect(status).To(Equal(http.StatusOK))
		r.restart("engine-0")
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.g.Expect(r.loadCount()).To(Equal(2))
	})
}

// TestAgentLoadsNothingUnderAStalePlan restarts the former agent of a slot that
// has moved. The agent reaches neither the store nor a node with the newer plan,
// and its engine ignores fencing tokens and so would obey it.
func TestAgentLoadsNothingUnderAStalePlan(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		staleEntry := r.startEntry("entry-1", "d1")
		settings := fastEngine()
		settings.CheckFence = false
		r.startEngineAgent("engine-0", "d0", settings)
		r.startEngineAgent("engine-1", "d1", settings)
		r.applyAndWait(r.anyEntry(), model("m", 20, 1))
		formerEndpoint := r.slotEndpoint("m", 0)
		staleEntry.gate.setCut(true)
		for _, name := range []string{"entry-0", "engine-0", "engine-1"} {
			r.net.partition("addr-entry-1", "addr-"+name)
		}
		r.markLeaving(formerEndpoint)
		r.eventually(time.Minute, func() string {
			if h := r.slotEndpoint("m", 0); h == "" || h == formerEndpoint {
				return "the slot has not moved"
			}
			return ""
		})
		a := chatRequest{model: "m", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(http.StatusOK))
		r.kill(r.agentNamed(formerEndpoint).process)
		for _, name := range []string{"entry-0", r.slotEndpoint("m", 0)} {
			r.net.partition("addr-"+formerEndpoint, "addr-"+name)
		}
		r.net.heal("addr-entry-1", "addr-"+formerEndpoint)
		r.restartWithoutStore(formerEndpoint)
		time.Sleep(10 * time.Second)
		got := staleEntry.chat(chatRequest{model: "m", prompt: "y", tokens: 3, timeout: 8 * time.Second})
		r.g.Expect(got.status).NotTo(Equal(http.StatusOK))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(r.loadCount()).To(Equal(1))
	})
}
