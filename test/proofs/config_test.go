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

// inForceWithin is the users' bound for an accepted configuration.
const inForceWithin = 6 * time.Second

func policy(price float64) kinds.Resource {
	return kinds.Resource{Kind: kinds.Policy, Name: "p", Policy: &kinds.PolicySpec{ColdStartPrice: price}}
}

// send puts a resource once and returns the status and the accepted revision.
func (e *entryNode) send(res kinds.Resource, ifMatch string) (int, int64) {
	body, err := json.Marshal(res)
	if err != nil {
		return 0, 0
	}
	header := map[string]string{"X-Operator": e.name}
	if ifMatch != "" {
		header["If-Match"] = ifMatch
	}
	w := e.do(http.MethodPut, "/admin/v1/"+string(res.Kind)+"/"+res.Name, string(body), header)
	var out struct{ Resource kinds.Resource }
	if json.Unmarshal(w.Body.Bytes(), &out) != nil {
		return w.Code, 0
	}
	return w.Code, out.Resource.Revision
}

// holders returns the configuration of every node by name.
func (r *rig) holders() map[string]*view.Holder {
	out := map[string]*view.Holder{}
	for name, e := range r.allEntries() {
		out[name] = e.Member.Holder
	}
	for name, a := range r.allAgents() {
		out[name] = a.Member.Holder
	}
	return out
}

// behind returns a node that does not have the policy at the revision.
func (r *rig) behind(revision int64) string {
	for name, h := range r.holders() {
		if e, ok := h.View().Entry("Policy/p"); !ok || e.Revision < revision {
			return fmt.Sprintf("%s is behind revision %d", name, revision)
		}
	}
	return ""
}

// watchReverts reports a node whose policy goes back to an older revision.
func (r *rig) watchReverts(stop chan struct{}) {
	seen := map[*view.Holder]int64{}
	for {
		for name, h := range r.holders() {
			e, _ := h.View().Entry("Policy/p")
			if e.Revision < seen[h] {
				r.breach(fmt.Sprintf("%s went back from %d to %d", name, seen[h], e.Revision))
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

// TestAcceptedConfigurationIsInForceAndStays changes a policy under faults.
func TestAcceptedConfigurationIsInForceAndStays(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
		mend  func(r *rig)
	}{
		{"no fault", func(*rig) {}, nil},
		{"write's answer lost", func(r *rig) { r.platform.Store.SetFaults(kvsim.Faults{LoseAnswers: 0.7}) }, nil},
		{"a relay is dead", func(r *rig) { r.kill(r.agentNamed(r.relay()).process) }, nil},
		{"a relay's links are silent", func(r *rig) { r.net.silence("addr-"+r.relay(), "") }, nil},
		{"a relay is cut off from the store", func(r *rig) { r.agentNamed(r.relay()).gate.set(true) }, nil},
		{"watches are mute for two seconds", func(r *rig) {
			r.platform.Store.SetFaults(kvsim.Faults{MuteWatches: true})
			r.group.Go(func() {
				time.Sleep(2 * time.Second)
				r.platform.Store.SetFaults(kvsim.Faults{})
			})
		}, nil},
		{"store fails over to a state that reads old", func(r *rig) {
			r.group.Go(func() {
				time.Sleep(100 * time.Millisecond)
				r.platform.Store.SetFaults(kvsim.Faults{StaleBy: 3})
				time.Sleep(3 * time.Second)
				r.platform.Store.SetFaults(kvsim.Faults{})
			})
		}, nil},
		{"a node is parted from all and comes back", func(r *rig) {
			for name := range r.holders() {
				r.net.part("addr-agent-7", "addr-"+name)
			}
			r.agentNamed("agent-7").gate.set(true)
			r.forget("agent-7")
		}, func(r *rig) {
			for name := range r.holders() {
				r.net.heal("addr-agent-7", "addr-"+name)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.entry("entry-0", "d0")
				r.entry("entry-1", "d1")
				for i := range 8 {
					r.serviceAgent(fmt.Sprintf("agent-%d", i), "d0", "s")
				}
				all := []process{}
				for _, a := range r.allAgents() {
					all = append(all, a.process)
				}
				r.put(r.anyEntry(), policy(1))
				time.Sleep(10 * time.Second)
				stop := make(chan struct{})
				r.group.Go(func() { r.watchReverts(stop) })
				c.fault(r)
				for i := range 5 {
					status, revision := r.anyEntry().send(policy(float64(i+2)), "")
					if status != http.StatusOK {
						continue
					}
					accepted := time.Now()
					r.eventually(inForceWithin, func() string { return r.behind(revision) })
					t.Logf("revision %d in force everywhere after %s", revision, time.Since(accepted))
				}
				if c.mend != nil {
					c.mend(r)
				}
				time.Sleep(5 * time.Second)
				close(stop)
				for _, p := range all {
					if r.agentNamed(p.name) == nil {
						p.closeAll()
					}
				}
			})
		})
	}
}

// relay returns the agent that the other agents of d0 follow first.
func (r *rig) relay() string {
	best := ""
	for name, a := range r.allAgents() {
		if a.Member.Relay != nil && a.Member.Relay.HasFollowers() && (best == "" || name < best) {
			best = name
		}
	}
	r.g.Expect(best).NotTo(BeEmpty())
	return best
}

// TestRacingOperators lets two operators change one resource from the same revision.
func TestRacingOperators(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.entry("entry-1", "d1")
		r.put(r.anyEntry(), policy(1))
		e, _ := r.anyEntry().Member.Holder.View().Entry("Policy/p")
		codes := make([]int, 2)
		at(
			func() { codes[0], _ = r.entryNamed("entry-0").send(policy(10), fmt.Sprint(e.Revision)) },
			func() { codes[1], _ = r.entryNamed("entry-1").send(policy(20), fmt.Sprint(e.Revision)) },
		)
		r.g.Expect(codes).To(ConsistOf(http.StatusOK, http.StatusConflict))
		w := r.anyEntry().do(http.MethodGet, "/admin/v1/Audit?prefix=Policy/", "", nil)
		r.g.Expect(strings.Count(w.Body.String(), `"Action":"Update"`)).To(Equal(1))
		r.g.Expect(strings.Count(w.Body.String(), `"Action":"Create"`)).To(Equal(1))
	})
}

// TestNodeRestartsDuringAnOutage checks that a node without the store takes its configuration from its peers.
func TestNodeRestartsDuringAnOutage(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", motorSettings())
		r.engineAgent("engine-1", "d0", motorSettings())
		r.put(r.anyEntry(), model("m", 20, 1), policy(3))
		warm := ask{model: "m", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK))
		holder := r.holder("m", 0)
		r.platform.Store.SetFaults(kvsim.Faults{Away: true, LoseAnswers: 0})
		r.kill(r.agentNamed(holder).process)
		time.Sleep(time.Second)
		r.platform.Store.SetFaults(kvsim.Faults{})
		r.restartCutOff(holder)
		r.eventually(10*time.Second, func() string { return r.behind(1) })
		r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK), "the replica that the engine holds is served")
		r.g.Expect(r.loads()).To(Equal(1))
	})
}

// restartCutOff restarts an agent that cannot reach the store.
func (r *rig) restartCutOff(name string) {
	r.cutOff = true
	r.restart(name)
	r.cutOff = false
}
