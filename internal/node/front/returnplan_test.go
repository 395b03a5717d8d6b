package front

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/standin/kvsim"
	"foxtailcroft/platform"
)

const (
	// returnModels is the number of models of the rig, more than its servers hold together.
	returnModels = 8
	// planWithin is the time within which a planner must give orders again: a lease, a hand-over and contact.
	planWithin = 8 * time.Second
)

// writeModels writes a document with more models than the servers hold.
func (r *returnRig) writeModels() {
	var models []string
	for m := range returnModels {
		models = append(models, fmt.Sprintf(`{"name":"m%d","weightsMb":70000,"loadS":0.3,"diskS":0.3,"warmS":0.3}`, m))
	}
	r.writeKey(platform.DocumentKey, fmt.Sprintf(`{"version":%d,"routes":[
{"name":"s","host":"h.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":15000,"responseGoalMs":1500,"service":"llm","attempts":2,"canResume":true,"gapTargetMs":400}],
"services":[{"name":"llm","engine":{"slots":16,"weightsMb":220000,"adapterSlots":8,"loadsPerS":2,"models":[%s]}}],
"limits":{"bodyBytes":1000000,"idleTimeoutMs":15000}}`, r.version+1, strings.Join(models, ",")))
}

// askForModels sends requests for one model after the other until done is closed.
func (r *returnRig) askForModels(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(150 * time.Millisecond):
		}
		names := slices.Sorted(maps.Keys(r.running()))
		r.clients.Go(func() {
			r.requestModel(names[n%len(names)], fmt.Sprintf("model-%d", n), fmt.Sprintf("m%d", n/4%returnModels))
		})
	}
}

// orderFaults returns what is wrong with the orders that servers have accepted: a lower fencing token after a
// higher one, one token of two fronts, or, if servers don't check tokens, turns of fronts within orderPause.
func (r *returnRig) orderFaults() (faults []string) {
	last, holders := map[string]int{}, map[string]string{}
	orders := r.executions.Orders()
	for n, o := range orders {
		token := fmt.Sprintf("%s %d", o.Server, o.Fence)
		if h, ok := holders[token]; ok && h != o.Holder {
			faults = append(faults, fmt.Sprintf("%s: token of %s and %s", token, h, o.Holder))
		}
		holders[token] = o.Holder
		if i, ok := last[o.Server]; ok {
			b := orders[i]
			if o.Fence < b.Fence {
				faults = append(faults, fmt.Sprintf("%s: token %d of %s after %d of %s", o.Server, o.Fence, o.Holder, b.Fence, b.Holder))
			}
			if gap := o.At.Sub(b.At); !r.checksFence && o.Holder != b.Holder && gap < orderPause {
				faults = append(faults, fmt.Sprintf("%s: order of %s %s after one of %s", o.Server, o.Holder, gap, b.Holder))
			}
		}
		last[o.Server] = n
	}
	return faults
}

// planner returns the front that holds the planner's key in the view of a front.
func (r *returnRig) planner(f *Front) string {
	if p := f.follower.State().Planner; p != nil {
		return p.Name
	}
	return ""
}

// awaitPlanner returns the front that all running ones take for the planner.
func (r *returnRig) awaitPlanner() string {
	for range 400 {
		names := map[string]bool{}
		for _, f := range r.running() {
			names[r.planner(f)] = true
		}
		for name := range names {
			if name != "" && len(names) == 1 {
				return name
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// TestOneFrontOrdersAcrossAReturnOfTheStore guards against two planners, tokens that fall, and servers
// without a planner, after the store has come back from a copy (ONE, issue 57).
func TestOneFrontOrdersAcrossAReturnOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name string
		storeReturn
		// unplanned tells that the copy is from before the first planner.
		unplanned bool
		// succeeded tells that the planner of the copy has been succeeded, and restarts tells that it has started again.
		succeeded, restarts bool
		// stops tells that the planner stops while the store is away.
		stops bool
		// starts is when another front starts after the store has gone away, 0 if none does.
		starts time.Duration
		// passes tells that the revision soon passes those that were lost.
		passes bool
		// returns is the number of returns in a row, 1 if it is 0.
		returns int
	}{
		{name: "leases gone", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}},
		{name: "keys outlive their leases", storeReturn: storeReturn{time.Second, kvsim.LeasesLapse}},
		{name: "leases run on", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}},
		{name: "at once", storeReturn: storeReturn{0, kvsim.LeasesGone}},
		{name: "away for longer than leases", storeReturn: storeReturn{5 * time.Second, kvsim.LeasesGone}},
		{name: "copy without a planner", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, unplanned: true},
		{name: "copy without a planner, a front starts meanwhile", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, unplanned: true, starts: 500 * time.Millisecond},
		{name: "copy without a planner, a front starts later", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, unplanned: true, starts: 2 * time.Second},
		{name: "copy without a planner, a front starts later, away for 1400 ms", storeReturn: storeReturn{1400 * time.Millisecond, kvsim.LeasesGone}, unplanned: true, starts: 2 * time.Second},
		{name: "leases run on, a front starts meanwhile", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, starts: 500 * time.Millisecond},
		{name: "copy with an earlier planner", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, succeeded: true},
		{name: "copy with an earlier planner, which restarted", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, succeeded: true, restarts: true},
		{name: "copy with an earlier planner, which restarted, key outlives its lease", storeReturn: storeReturn{time.Second, kvsim.LeasesLapse}, succeeded: true, restarts: true},
		{name: "leases gone, revisions pass", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, passes: true},
		{name: "leases run on, revisions pass", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, passes: true},
		{name: "copy without a planner, revisions pass", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, unplanned: true, passes: true},
		{name: "copy without a planner, a front starts later, revisions pass", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, unplanned: true, starts: 2 * time.Second, passes: true},
		{name: "copy with an earlier planner, which restarted, revisions pass", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, succeeded: true, restarts: true, passes: true},
		{name: "planner stops meanwhile", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, stops: true},
		{name: "twice", storeReturn: storeReturn{time.Second, kvsim.LeasesGone}, returns: 2},
		{name: "twice, leases run on", storeReturn: storeReturn{time.Second, kvsim.LeasesKept}, returns: 2},
	} {
		for _, checksFence := range []bool{true, false} {
			name := c.name
			if checksFence {
				name += ", tokens checked"
			}
			t.Run(name, func(t *testing.T) {
				withReturns(t, 0, false, checksFence, func(r *returnRig) {
					done := make(chan struct{})
					defer close(done)
					r.writeModels()
					r.addServer("llm", "m0", "m1", "m2")
					r.addServer("llm", "m3", "m4", "m5")
					taken := r.memory.Copy()
					// Tokens are lower after the return.
					r.fill(r.revision() + 100)
					for n := range 3 {
						r.startFront(fmt.Sprintf("front-%d", n+1))
					}
					r.clients.Go(func() { r.askForModels(done) })
					first := r.awaitPlanner()
					time.Sleep(settleTime + orderPause)
					r.g.Expect(r.executions.Orders()).NotTo(BeEmpty())
					if !c.unplanned {
						taken = r.memory.Copy()
						r.fill(r.revision() + 100)
					}
					if c.succeeded {
						r.stop(first)
						time.Sleep(planWithin)
						if c.restarts {
							r.startFront(first)
						}
					}
					time.Sleep(2 * time.Second)
					for range max(1, c.returns) {
						r.clients.Go(func() {
							time.Sleep(c.away / 2)
							if c.stops {
								r.stop(first)
							}
						})
						if c.starts > 0 {
							r.clients.Go(func() {
								time.Sleep(c.starts)
								r.startFront("front-4")
							})
						}
						lost := r.revision()
						r.returnFrom(taken, c.storeReturn)
						time.Sleep(1500 * time.Millisecond)
						if c.passes {
							r.fill(lost + 5)
						}
						time.Sleep(500 * time.Millisecond)
					}
					time.Sleep(planWithin - 2*time.Second)
					planned := len(r.executions.Orders())
					agreed := r.awaitPlanner()
					time.Sleep(planWithin)
					faults := r.orderFaults()
					if agreed == "" {
						faults = append(faults, "fronts don't agree on the planner")
					}
					if len(r.executions.Orders()) == planned {
						faults = append(faults, fmt.Sprintf("no orders later than %s after the return", planWithin))
					}
					r.g.Expect(faults).To(BeEmpty())
				})
			})
		}
	}
}

// stop stops a front without a drain.
func (r *returnRig) stop(name string) {
	r.mu.Lock()
	stop := r.stops[name]
	delete(r.fronts, name)
	r.mu.Unlock()
	stop()
}
