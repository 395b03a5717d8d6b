package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform/fake"
	"foxtailcroft/test/seeds"
)

// clusterWitnesses asks the other fronts of a cluster that a front knows.
type clusterWitnesses struct {
	cluster *cluster
	self    *testFront
}

func (w clusterWitnesses) ConfirmOutage(_ context.Context, fence int64) bool {
	for _, p := range w.cluster.fronts {
		_, known := w.self.follower.State().Fronts[p.candidate.Self.Name]
		if p != w.self && known && !p.candidate.ConfirmOutage(fence) {
			return false
		}
	}
	return true
}

// startOutageChecks lets all fronts ask each other about outages.
func (c *cluster) startOutageChecks() {
	for _, p := range c.fronts {
		p.candidate.SetWitnesses(clusterWitnesses{c, p})
		c.group.Go(func() { p.candidate.RunOutageCheck(c.ctx) })
	}
}

// TestPlannerOfServersWithoutFenceChecksGoesOnWhileTheStoreIsAway cuts all fronts off from the
// store. Models must be loaded for requests as long as the outage lasts.
func TestPlannerOfServersWithoutFenceChecksGoesOnWhileTheStoreIsAway(t *testing.T) {
	runClusterWith(t, false, 2, 3, 8, func(c *cluster) {
		c.startOutageChecks()
		first := c.leader()
		time.Sleep(4 * time.Second)
		for _, p := range c.fronts {
			p.store.partitioned.Store(true)
		}
		time.Sleep(3 * time.Second)
		for i := range 12 {
			began := time.Now()
			found, err := first.planner.RequestInstances(c.ctx, peers.InstanceRequest{
				Service: "llm", Target: site.Target{Model: fmt.Sprintf("m%d", i%8)}, Wait: 4 * time.Second, Answer: 4 * time.Second,
			})
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(found.Instances).NotTo(BeEmpty(), found.Reason)
			c.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		}
		c.g.Expect(c.orderLog.Breaches()).To(BeEmpty())
	})
}

// TestPlannerThatLostItsLeaseStopsWhileTheStoreIsAway guards against a planner that takes itself for restarted after
// the store, which came back from a copy, refused its lease and went away again.
func TestPlannerThatLostItsLeaseStopsWhileTheStoreIsAway(t *testing.T) {
	runCluster(t, 1, 2, 2, func(c *cluster) {
		p := c.leader()
		time.Sleep(3 * time.Second)
		p.store.partitioned.Store(true)
		p.candidate.setLease(0, time.Time{}, 0)
		time.Sleep(time.Second)
		c.g.Expect(p.follower.Unavailable(0)).To(BeTrue())
		c.g.Expect(p.follower.State().Planner.Run).To(Equal(p.candidate.Self.Run))
		_, ok := p.candidate.FencingToken(true)
		c.g.Expect(ok).To(BeFalse(), "another front may hold the planner's key by now")
	})
}

// TestOutagesKeepTheHandoverDelay cuts drawn fronts off from the store, at times all of them,
// and lets each return at a time of its own. The orders of two planners to one server that
// doesn't check fencing tokens must be at least handoverDelay apart.
func TestOutagesKeepTheHandoverDelay(t *testing.T) {
	testHandoverDelay(t, false)
}

// TestReturnsFromACopyKeepTheHandoverDelay is TestOutagesKeepTheHandoverDelay with a store that also comes back from
// copies, which guards against a planner that goes on by its belief in a lost key.
func TestReturnsFromACopyKeepTheHandoverDelay(t *testing.T) {
	testHandoverDelay(t, true)
}

func testHandoverDelay(t *testing.T, returns bool) {
	handovers := 0
	for i := range uint64(30) {
		seed := seeds.FromEnvironment() + i
		runClusterWith(t, false, 2, 4, 8, func(c *cluster) {
			c.startOutageChecks()
			draws := rand.New(rand.NewPCG(seed, 3))
			var group conc.WaitGroup
			var copies []kvsim.Copy
			for range 4 {
				if returns {
					copies = append(copies, c.memory.Copy())
					taken, after, leases := copies[draws.IntN(len(copies))], time.Duration(draws.Int64N(int64(2500*time.Millisecond))), kvsim.Leases(draws.IntN(3))
					group.Go(func() {
						time.Sleep(after)
						c.memory.ReturnFrom(taken, leases)
					})
				}
				all := draws.IntN(2) == 0
				for _, p := range c.fronts {
					if !all && draws.IntN(2) == 0 {
						continue
					}
					start, length := time.Duration(draws.Int64N(int64(time.Second))), time.Second+time.Duration(draws.Int64N(int64(5*time.Second)))
					group.Go(func() {
						time.Sleep(start)
						p.store.partitioned.Store(true)
						time.Sleep(length)
						p.store.partitioned.Store(false)
					})
				}
				for n := range 100 {
					for _, p := range c.fronts {
						group.Go(func() {
							_, _ = p.planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: site.Target{Model: fmt.Sprintf("m%d", n%8)}, Wait: time.Second, Answer: time.Second})
						})
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
			group.Wait()
			last := map[string]fake.AcceptedOrder{}
			for _, o := range c.orderLog.Orders() {
				if before, ok := last[o.Server]; ok && before.Holder != o.Holder {
					handovers++
					c.g.Expect(o.At.Sub(before.At)).To(BeNumerically(">=", handoverDelay), "seed %d: %s after %s at %s", seed, o.Holder, before.Holder, o.Server)
				}
				last[o.Server] = o
			}
			c.g.Expect(c.orderLog.Breaches()).To(BeEmpty(), "seed %d", seed)
		})
	}
	NewWithT(t).Expect(handovers).To(BeNumerically(">", 0))
}
