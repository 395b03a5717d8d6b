package sched

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

// TestInstancesOfOneVersion guards against streams that are sent to servers of another version, and that
// wait although no server of their version has the model.
func TestInstancesOfOneVersion(t *testing.T) {
	runCluster(t, 1, 1, 2, func(c *cluster) {
		c.version = `"v2"`
		c.addServer(1, 1, "m0")
		c.addServer(2, 1, "m1")
		time.Sleep(5 * time.Second)
		for _, step := range []struct {
			name    string
			target  site.Target
			version string
			want    []string
		}{
			{"any", site.Target{Model: "m0"}, "", []string{"i-0", "i-1"}},
			{"first version", site.Target{Model: "m0"}, "v1", []string{"i-0"}},
			{"second version", site.Target{Model: "m0"}, "v2", []string{"i-1"}},
			{"adapter of the first version", site.Target{Model: "m0", Name: "a1"}, "v1", []string{"i-0"}},
			{"adapter of the second version", site.Target{Model: "m0", Name: "a1"}, "v2", []string{"i-1"}},
			{"adapter of any", site.Target{Model: "m0", Name: "a1"}, "", []string{"i-0", "i-1"}},
			{"model at another version", site.Target{Model: "m1"}, "v1", nil},
			{"adapter of a model at another version", site.Target{Model: "m1", Name: "a1"}, "v1", nil},
			{"version that has left", site.Target{Model: "m0"}, "v3", nil},
		} {
			began := time.Now()
			found, err := c.leader().planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: step.target, Version: step.version, Wait: 3 * time.Second, Answer: 3 * time.Second})
			c.g.Expect(err).NotTo(HaveOccurred(), step.name)
			var got []string
			for _, k := range found.Instances {
				got = append(got, k.ID)
			}
			c.g.Expect(got).To(ConsistOf(step.want), step.name)
			c.g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond), step.name)
		}
	})
}
