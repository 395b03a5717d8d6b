package sched

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/plat/store"
)

// TestModelsOfLeavingServersAreLoadedElsewhere takes away two servers with the only copies of five
// models, of which three were requested, and of a requested adapter, while the memory of all servers
// is full. The planner must load these before a request asks for them and no other ones, must use at
// most half of the load slots for it, and must not delay a request for a model that no server holds.
func TestModelsOfLeavingServersAreLoadedElsewhere(t *testing.T) {
	targets := []site.Target{{Model: "m0"}, {Model: "m1"}, {Model: "m5"}, {Model: "m2", Name: "a1"}, {Model: "m3"}, {Model: "m4"}}
	ask := func(p *Planner, n float64) {
		p.ApplyUsage(peers.UsageReport{Asked: []peers.RequestCount{{Target: targets[0], Requests: n}, {Target: targets[1], Requests: 0.8 * n}, {Target: targets[2], Requests: 0.6 * n}, {Target: targets[3], Requests: 0.4 * n}}})
	}
	for cause, notice := range map[string]time.Duration{"draining": 0, "registration ended": 0, "lost": reportInterval + lossConfirmation, "planner dies at the notice": 2*time.Second + claimTime + evictionWarmup} {
		runCluster(t, 0, 2, 14, func(c *cluster) {
			c.addServer(0, 1, "m0", "m1", "m2")
			_, _ = c.want("m2", "a1", 4*time.Second)
			for i, models := range [][]string{{"m3", "m4", "m5"}, {"m6", "m7", "m8"}, {"m9", "m10", "m2"}} {
				c.addServer(i+1, 1, models...)
				c.fronts[i%2].store.steady.Store(true)
			}
			time.Sleep(5 * time.Second)
			first := c.leader()
			ask(first.planner, 5)
			for i, s := range c.servers[:2] {
				switch cause {
				case "registration ended":
					_, _ = c.memory.Commit(c.ctx, store.Txn{Deletes: []string{s.Key()}})
					fallthrough
				case "lost":
					c.stops[i]()
				case "planner dies at the notice":
					first.cancel()
					c.fronts = slices.DeleteFunc(c.fronts, func(x *testFront) bool { return x == first })
					fallthrough
				default:
					s.Drain()
				}
			}
			time.Sleep(notice + 200*time.Millisecond)
			p := c.leader().planner
			ask(p, 1)
			found, _ := c.want("m13", "", loadTime+300*time.Millisecond)
			c.g.Expect(found.Instances).NotTo(BeEmpty(), "%s: %s", cause, found.Reason)
			for range 300 {
				ask(p, 0.01)
				p.mu.Lock()
				_, left := p.departedModels("llm", time.Now())
				p.mu.Unlock()
				c.g.Expect(left).To(BeNumerically(">=", 0), "%s: more than half of the load slots are used", cause)
				time.Sleep(10 * time.Millisecond)
			}
			for i, t := range targets {
				_, found, _ := p.register(peers.InstanceRequest{Service: "llm", Target: t})
				c.g.Expect(len(found.Instances) > 0).To(Equal(i < 4), "%s: %v", cause, t)
			}
			c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
		})
	}
}

// TestUrgentRequestsDecideOnceAServerHasLeft lets one request for a model compete for the only load
// slot with three for another one, which are less urgent or can't wait for the end of a load. The one
// must win if a server has left, and the three otherwise, as where no server leaves.
func TestUrgentRequestsDecideOnceAServerHasLeft(t *testing.T) {
	for i, many := range []peers.InstanceRequest{{Wait: 4 * time.Second, Priority: 9}, {Wait: 1200 * time.Millisecond}} {
		for _, leaves := range []bool{false, true} {
			runCluster(t, 0, 1, 10, func(c *cluster) {
				c.fronts[0].store.steady.Store(true)
				for i, models := range [][]string{{"m0", "m1", "m2"}, {"m3", "m4", "m5"}} {
					c.addServer(i, 1, models...)
					// A load that takes longer than forecast keeps the number of load slots at one.
					c.servers[i].SetLoadTime(loadTime + 200*time.Millisecond)
				}
				if leaves {
					c.servers[0].Drain()
				}
				time.Sleep(5 * time.Second)
				p := c.leader().planner
				p.InheritStatus(peers.PlannerStatus{StoreLoads: 1})
				for _, r := range []peers.InstanceRequest{{Target: site.Target{Model: "m8"}, Wait: 4 * time.Second}, many, many, many, {Target: site.Target{Model: "m7"}, Wait: 4 * time.Second}} {
					r.Service, r.Answer, r.Target.Model = "llm", r.Wait, cmp.Or(r.Target.Model, "m6")
					c.group.Go(func() { _, _ = p.RequestInstances(c.ctx, r) })
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(1200 * time.Millisecond)
				p.ApplyUsage(peers.UsageReport{Asked: []peers.RequestCount{{Target: site.Target{Model: "m7"}, Requests: 1}, {Target: site.Target{Model: "m6"}, Requests: 2, Priority: 1}}})
				p.mu.Lock()
				defer p.mu.Unlock()
				c.g.Expect(p.demand.byModel(time.Now())["m6"].Value).To(BeNumerically("~", 0.5))
				_, one := p.forecastReady(peers.InstanceRequest{Target: site.Target{Model: "m7"}})
				_, three := p.forecastReady(peers.InstanceRequest{Target: site.Target{Model: "m6"}})
				c.g.Expect([]bool{one, three}).To(Equal([]bool{leaves, !leaves}), "case %d", i)
			})
		}
	}
}
