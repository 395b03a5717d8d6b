package sched

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/front/peers"
)

// TestInstancesOfOneVersion guards against streams that are sent to servers of another version, that wait although no
// server of their version can have the model in time, and that are refused although one can.
func TestInstancesOfOneVersion(t *testing.T) {
	runCluster(t, 1, 1, 2, func(c *cluster) {
		const wait, soon = 3 * time.Second, 500 * time.Millisecond
		c.version = `"v2"`
		c.addServer(1, 1, "m0")
		c.addServer(2, 1, "m1")
		time.Sleep(5 * time.Second)
		for _, step := range []struct {
			name    string
			target  site.Target
			version string
			// wait is how long the request can wait, and within bounds the time until it is answered.
			wait, within time.Duration
			want         []string
		}{
			{"any", site.Target{Model: "m0"}, "", wait, soon, []string{"i-0", "i-1"}},
			{"first version", site.Target{Model: "m0"}, "v1", wait, soon, []string{"i-0"}},
			{"second version", site.Target{Model: "m0"}, "v2", wait, soon, []string{"i-1"}},
			{"adapter of the first version", site.Target{Model: "m0", Name: "a1"}, "v1", wait, soon, []string{"i-0"}},
			{"adapter of the second version", site.Target{Model: "m0", Name: "a1"}, "v2", wait, soon, []string{"i-1"}},
			{"adapter of any", site.Target{Model: "m0", Name: "a1"}, "", wait, soon, []string{"i-0", "i-1"}},
			{"model at another version, too late", site.Target{Model: "m1"}, "v1", loadTime / 2, soon / 10, nil},
			{"adapter of a model at another version, too late", site.Target{Model: "m1", Name: "a1"}, "v1", loadTime / 2, soon / 10, nil},
			{"model at another version", site.Target{Model: "m1"}, "v1", wait, loadTime + soon, []string{"i-0"}},
			{"adapter of a model at another version", site.Target{Model: "m1", Name: "a1"}, "v1", wait, soon, []string{"i-0"}},
			{"version that has left", site.Target{Model: "m0"}, "v3", wait, soon, nil},
		} {
			began := time.Now()
			found, err := c.leader().planner.RequestInstances(c.ctx, peers.InstanceRequest{Service: "llm", Target: step.target, Version: step.version, Wait: step.wait, Answer: step.wait})
			c.g.Expect(err).NotTo(HaveOccurred(), step.name)
			var got []string
			for _, k := range found.Instances {
				got = append(got, k.ID)
			}
			c.g.Expect(got).To(ConsistOf(step.want), step.name)
			c.g.Expect(time.Since(began)).To(BeNumerically("<", step.within), step.name)
		}
	})
}

// TestVersionsHaveSecondCopies guards against streams that can't go on as the only server of their version with the
// model fails, against copies for versions without streams, and against copies of models that no other version has.
func TestVersionsHaveSecondCopies(t *testing.T) {
	for _, c := range []struct {
		name string
		// versions are those of four servers, of which the first and the third hold models; first is the model of the
		// first one, if it isn't that of the third.
		versions []string
		first    string
		// streams is the number of streams at the third one.
		streams int
		want    []string
	}{
		{"two versions", []string{"v1", "v1", "v2", "v2"}, "", 5, []string{"i-0", "i-2", "i-3"}},
		{"two versions, no streams", []string{"v1", "v1", "v2", "v2"}, "", 0, []string{"i-0", "i-2"}},
		{"two versions, held at one", []string{"v1", "v1", "v2", "v2"}, "m1", 5, []string{"i-2"}},
		{"only server of its version", []string{"v1", "v1", "v2", "v1"}, "", 5, []string{"i-0", "i-2"}},
		{"one version", []string{"v1", "v1", "v1", "v1"}, "", 5, []string{"i-0", "i-2"}},
		{"unknown versions", []string{"v1", "v1", "", ""}, "", 5, []string{"i-0", "i-2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 0, 1, 2, func(r *cluster) {
				for i, v := range c.versions {
					r.version = fmt.Sprintf("%q", v)
					model := []string{"m0", "m1"}[i%2]
					if i == 0 {
						model = cmp.Or(c.first, model)
					}
					r.addServer(i, int64(1+i), model)
				}
				time.Sleep(3 * time.Second)
				p := r.leader().planner
				for range 8 {
					p.ApplyUsage(peers.UsageReport{Front: "front-9", Uses: []peers.TargetUsage{{Instance: site.InstanceKey{ID: "i-2", Born: 3}, Target: site.Target{Model: "m0"}, InFlight: c.streams}}})
					time.Sleep(500 * time.Millisecond)
				}
				var got []string
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, s := range p.serversWithModel("llm", "m0") {
					got = append(got, s.inst.ID)
				}
				r.g.Expect(got).To(ConsistOf(c.want))
			})
		})
	}
}
