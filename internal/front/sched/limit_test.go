package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

func TestFrontsLearnLimitsFromThePlanner(t *testing.T) {
	runCluster(t, 2, 1, 1, func(c *cluster) {
		time.Sleep(5 * time.Second)
		p := c.leader().planner
		limit := func(perSecond float64, age time.Duration) peers.InstanceLimit {
			return peers.InstanceLimit{Instance: site.InstanceKey{ID: "i-0", Born: 1}, PerSecond: perSecond, Age: age}
		}
		report := func(l ...peers.InstanceLimit) []peers.InstanceLimit {
			return p.ApplyUsage(peers.UsageReport{Front: "f", Limits: l}).Limits
		}
		c.g.Expect(report()).To(BeEmpty())
		c.g.Expect(report(limit(1.5, 0))).To(ConsistOf(limit(1.5, 0)))
		time.Sleep(time.Second)
		c.g.Expect(report(limit(2, 3*time.Second))).To(ConsistOf(limit(1.5, time.Second)), "an older answer changes nothing")
		c.g.Expect(report(limit(0, 0))).To(ConsistOf(limit(0, 0)), "lifted")
		time.Sleep(limitTTL)
		c.g.Expect(report()).To(BeEmpty())
	})
}

// TestAdapterIsLoadedElsewhereIfItsServerIsAtItsLimit asks for an adapter that a server
// holds which takes no more requests in time.
func TestAdapterIsLoadedElsewhereIfItsServerIsAtItsLimit(t *testing.T) {
	for _, limited := range []bool{false, true} {
		runCluster(t, 2, 1, 1, func(c *cluster) {
			time.Sleep(5 * time.Second)
			found, err := c.want("m0", "a1", time.Second)
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(found.Instances).To(HaveLen(1))
			p := c.leader().planner
			if limited {
				p.ApplyUsage(peers.UsageReport{Front: "f", Limits: []peers.InstanceLimit{{Instance: found.Instances[0], PerSecond: 1}}})
			}
			other, err := p.RequestInstances(c.ctx, peers.InstanceRequest{
				Service: "llm", Target: site.Target{Model: "m0", Name: "a1"}, Wait: time.Second, Answer: time.Second, Avoid: found.Instances,
			})
			c.g.Expect(err).NotTo(HaveOccurred())
			if !limited {
				c.g.Expect(other.Instances).To(BeEmpty(), "one place for an adapter is enough")
				return
			}
			c.g.Expect(other.Instances).To(HaveLen(1))
			c.g.Expect(other.Instances).NotTo(Equal(found.Instances))
		})
	}
}
