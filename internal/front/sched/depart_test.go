package sched

import (
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
	const requested = 4
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
				c.g.Expect(len(found.Instances) > 0).To(Equal(i < requested), "%s: %v", cause, t)
			}
			c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
		})
	}
}
