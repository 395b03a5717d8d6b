package proofs

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/standin/kvsim"
)

// inForceLimit bounds the time in which an accepted configuration must reach
// every node, as promised to users.
const inForceLimit = 6 * time.Second

// policy declares the policy "p" with a cold start price.
func policy(price float64) kinds.Resource {
	return kinds.Resource{Kind: kinds.Policy, Name: "p", Policy: &kinds.PolicySpec{ColdStartPrice: price}}
}

// putOnce puts a resource without a retry. It returns the HTTP status and the
// accepted revision, which is zero if the change was not accepted.
func (e *entryNode) putOnce(res kinds.Resource, ifMatch string) (int, int64) {
	body, err := json.Marshal(res)
	if err != nil {
		return 0, 0
	}
	header := map[string]string{"X-Operator": e.name}
	if ifMatch != "" {
		header["If-Match"] = ifMatch
	}
	w := e.request(http.MethodPut, "/admin/v1/"+string(res.Kind)+"/"+res.Name, string(body), header)
	var out struct{ Resource kinds.Resource }
	if json.Unmarshal(w.Body.Bytes(), &out) != nil {
		return w.Code, 0
	}
	return w.Code, out.Resource.Revision
}

// viewHolders returns the configuration holder of each live node, by node name.
func (r *rig) viewHolders() map[string]*view.Holder {
	out := map[string]*view.Holder{}
	for name, e := range r.allEntries() {
		out[name] = e.Member.Holder
	}
	for name, a := range r.allAgents() {
		out[name] = a.Member.Holder
	}
	return out
}

// nodeBehind describes a node whose policy is older than the revision, or returns
// "" if there is none.
func (r *rig) nodeBehind(revision int64) string {
	for name, h := range r.viewHolders() {
		if e, ok := h.View().Entry("Policy/p"); !ok || e.Revision < revision {
			return fmt.Sprintf("%s is behind revision %d", name, revision)
		}
	}
	return ""
}

// watchReverts records a violation whenever a node's policy goes back to an older
// revision, until stop is closed.
func (r *rig) watchReverts(stop chan struct{}) {
	seen := map[*view.Holder]int64{}
	for {
		for name, h := range r.viewHolders() {
			e, _ := h.View().Entry("Policy/p")
			if e.Revision < seen[h] {
				r.addViolations(fmt.Sprintf("%s went back from revision %d to %d", name, seen[h], e.Revision))
			}
			seen[h] = e.Revision
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestAcceptedConfigurationIsInForceAndStays changes a policy during faults. It
// checks that each accepted change reaches every node in time, and that no node
// goes back to an older revision.
func TestAcceptedConfigurationIsInForceAndStays(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(r *rig)
		repair func(r *rig)
	}{
		{"no fault", func(*rig) {}, nil},
		{"store loses answers to writes", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.7}) }, nil},
		{"a relay is killed", func(r *rig) { r.kill(r.agentNamed(r.busyRelay()).process) }, nil},
		{"a relay's links drop all bytes", func(r *rig) { r.net.silence("addr-"+r.busyRelay(), "") }, nil},
		{"a relay is cut off from the store", func(r *rig) { r.agentNamed(r.busyRelay()).gate.setCut(true) }, nil},
		{"watches deliver nothing for two seconds", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{MuteWatches: true})
			r.group.Go(func() {
				time.Sleep(2 * time.Second)
				r.platform.Store.SetFaults(kvsim.Faults{})
			})
		}, nil},
		{"store fails over and serves stale reads", func(r *rig) {
			r.group.Go(func() {
				time.Sleep(100 * time.Millisecond)
				r.platform.Store.SetFaults(kvsim.Faults{StaleBy: 3})
				time.Sleep(3 * time.Second)
				r.platform.Store.SetFaults(kvsim.Faults{})
			})
		}, nil},
		{"a node is partitioned from all others and returns", func(r *rig) {
			for name := range r.viewHolders() {
				r.net.partition("addr-agent-7", "addr-"+name)
			}
			r.agentNamed("agent-7").gate.setCut(true)
			r.forget("agent-7")
		}, func(r *rig) {
			for name := range r.viewHolders() {
				r.net.heal("addr-agent-7", "addr-"+name)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startEntry("entry-0", "d0")
				r.startEntry("entry-1", "d1")
				for i := range 8 {
					r.startServiceAgent(fmt.Sprintf("agent-%d", i), "d0", "s")
				}
				processes := []process{}
				for _, a := range r.allAgents() {
					processes = append(processes, a.process)
				}
				r.applyAndWait(r.anyEntry(), policy(1))
				time.Sleep(10 * time.Second)
				stop := make(chan struct{})
				r.group.Go(func() { r.watchReverts(stop) })
				c.fault(r)
				for i := range 5 {
					status, revision := r.anyEntry().putOnce(policy(float64(i+2)), "")
					if status != http.StatusOK {
						continue
					}
					accepted := time.Now()
					r.eventually(inForceLimit, func() string { return r.nodeBehind(revision) })
					t.Logf("revision %d in force everywhere after %s", revision, time.Since(accepted))
				}
				if c.repair != nil {
					c.repair(r)
				}
				time.Sleep(5 * time.Second)
				close(stop)
				for _, p := range processes {
					if r.agentNamed(p.name) == nil {
						p.closeAll()
					}
				}
			})
		})
	}
}

// busyRelay returns the first agent by name that currently relays the
// configuration to followers.
func (r *rig) busyRelay() string {
	first := ""
	for name, a := range r.allAgents() {
		if a.Member.Relay != nil && a.Member.Relay.HasFollowers() && (first == "" || name < first) {
			first = name
		}
	}
	r.g.Expect(first).NotTo(BeEmpty())
	return first
}

// TestOnlyOneOfTwoConflictingChangesIsAccepted lets two operators change one
// resource concurrently, both expecting the same revision.
func TestOnlyOneOfTwoConflictingChangesIsAccepted(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEntry("entry-1", "d1")
		r.applyAndWait(r.anyEntry(), policy(1))
		e, _ := r.anyEntry().Member.Holder.View().Entry("Policy/p")
		codes := make([]int, 2)
		runAll(
			func() { codes[0], _ = r.entryNamed("entry-0").putOnce(policy(10), fmt.Sprint(e.Revision)) },
			func() { codes[1], _ = r.entryNamed("entry-1").putOnce(policy(20), fmt.Sprint(e.Revision)) },
		)
		r.g.Expect(codes).To(ConsistOf(http.StatusOK, http.StatusConflict))
		w := r.anyEntry().request(http.MethodGet, "/admin/v1/Audit?prefix=Policy/", "", nil)
		r.g.Expect(strings.Count(w.Body.String(), `"Action":"Update"`)).To(Equal(1))
		r.g.Expect(strings.Count(w.Body.String(), `"Action":"Create"`)).To(Equal(1))
	})
}

// TestNodeRestartsDuringAStoreOutage checks that a node that starts without the
// store gets its configuration from its peers, and that the replica still loaded
// in its engine is served without another load.
func TestNodeRestartsDuringAStoreOutage(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", fastEngine())
		r.startEngineAgent("engine-1", "d0", fastEngine())
		r.applyAndWait(r.anyEntry(), model("m", 20, 1), policy(3))
		warm := chatRequest{model: "m", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK))
		holder := r.slotEndpoint("m", 0)
		r.platform.Store.SetFaults(kvsim.Faults{Away: true, LoseAnswers: 0})
		r.kill(r.agentNamed(holder).process)
		time.Sleep(time.Second)
		r.platform.Store.SetFaults(kvsim.Faults{})
		r.restartWithoutStore(holder)
		r.eventually(10*time.Second, func() string { return r.nodeBehind(1) })
		r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK), "the replica still loaded in the engine must be served")
		r.g.Expect(r.loadCount()).To(Equal(1))
	})
}

// restartWithoutStore restarts an agent that can't reach the store.
func (r *rig) restartWithoutStore(name string) {
	r.startWithoutStore = true
	r.restart(name)
	r.startWithoutStore = false
}
