package front

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/plat/follow"
)

// notPlanner returns a front without the planner's role.
func (r *versionsRig) notPlanner(fronts []string) string {
	var planner struct{ Name string }
	value, _ := r.memory.ValueIgnoringFaults(follow.PlannerKey)
	r.g.Expect(json.Unmarshal(value, &planner)).To(Succeed())
	return fronts[slices.IndexFunc(fronts, func(f string) bool { return f != planner.Name })]
}

// TestFrontOutOfStepJoinsNoVersions guards against streams of a new version that a front takes for streams of
// the old one, as it was cut off when the new one came.
func TestFrontOutOfStepJoinsNoVersions(t *testing.T) {
	const v1, v2 = `"1.8"`, `"1.9"`
	for _, crashAfter := range []time.Duration{2600 * time.Millisecond, 2900 * time.Millisecond, 3200 * time.Millisecond, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		t.Run(crashAfter.String(), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fronts := []string{"front-1", "front-2", "front-3"}
				r := newVersionsRig(h, fronts, v1)
				defer func() { r.stopFronts(fronts...) }()
				r.outOfStep, r.takeUpPause = r.notPlanner(fronts), 50*time.Millisecond
				r.partition.cut(r.outOfStep)
				defer r.partition.cut("")
				cutAt := time.Now()
				time.Sleep(300 * time.Millisecond)
				r.startServers(v2)
				r.play(int((crashAfter - 300*time.Millisecond) / (20 * time.Millisecond)))
				time.Sleep(time.Until(cutAt.Add(crashAfter)))
				began := len(r.executions.Executions())
				r.stopServers(v2)
				r.clients.Wait()
				joined := r.joined()
				t.Logf("%d began, %d joined", began, len(joined))
				r.g.Expect(joined).To(BeEmpty())
			})
		})
	}
}

// TestFrontsKnowWhichProcessBeginsAStream guards against streams that a front takes for those of the announced
// process, or that other fronts take for those of the settled version, as a server was upgraded under its ID without
// a request there and isn't announced again, or as the front was cut off meanwhile.
func TestFrontsKnowWhichProcessBeginsAStream(t *testing.T) {
	const v1, v2, v3 = `"1.8"`, `"1.9"`, `"2.0"`
	for _, c := range []struct {
		name string
		// then is the version to which the server is upgraded once more, 1 s later; empty for none.
		then string
		// starts tells that the front starts as the server is upgraded.
		starts bool
		// cut tells that the front is cut off until healed after the upgrade, 0 for as long as streams begin.
		cut    bool
		healed time.Duration
		// announced is how long after its start the upgraded server announces itself.
		announced time.Duration
		// began is the time after the upgrade from which streams begin, and crashed that at which the server crashes.
		began, crashed time.Duration
		// elsewhere tells that clients take streams up at other fronts.
		elsewhere bool
	}{
		{"cut off", "", false, true, 0, 2 * time.Second, 2500 * time.Millisecond, 3300 * time.Millisecond, false},
		{"cut off, taken up elsewhere", "", false, true, 0, 100 * time.Millisecond, 2500 * time.Millisecond, 3300 * time.Millisecond, true},
		{"cut off, healed 100 ms before", "", false, true, 3200 * time.Millisecond, 100 * time.Millisecond, 2500 * time.Millisecond, 3300 * time.Millisecond, true},
		{"cut off, healed 300 ms before", "", false, true, 3200 * time.Millisecond, 100 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, true},
		{"cut off, healed 600 ms before", "", false, true, 3200 * time.Millisecond, 100 * time.Millisecond, 2500 * time.Millisecond, 3800 * time.Millisecond, true},
		{"cut off, healed 1,300 ms before", "", false, true, 3200 * time.Millisecond, 100 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond, true},
		{"in touch, announced late", "", false, false, 0, 2 * time.Second, 300 * time.Millisecond, 1100 * time.Millisecond, false},
		{"in touch, announced late, taken up elsewhere", "", false, false, 0, 2 * time.Second, 300 * time.Millisecond, 1100 * time.Millisecond, true},
		{"cut off, upgraded twice", v3, false, true, 0, 100 * time.Millisecond, 2500 * time.Millisecond, 3300 * time.Millisecond, true},
		{"in touch, upgraded twice, announced late", v3, false, false, 0, 2 * time.Second, 1300 * time.Millisecond, 2100 * time.Millisecond, true},
		{"starts as the server is upgraded", "", true, false, 0, 3 * time.Second, 300 * time.Millisecond, 2100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fronts := []string{"front-1", "front-2", "front-3"}
				r := newVersionsRig(h, fronts, v1)
				defer func() { r.stopFronts(fronts...) }()
				r.beginAt, r.takeUpPause = r.notPlanner(fronts), 50*time.Millisecond
				if !c.elsewhere {
					r.only = r.beginAt
				}
				if c.cut {
					r.partition.cut(r.beginAt)
					defer r.partition.cut("")
				}
				time.Sleep(300 * time.Millisecond)
				upgradedAt := time.Now()
				if c.starts {
					r.stopFronts(r.beginAt)
					r.clients.Go(func() { r.startFronts(r.beginAt) })
				}
				r.restart(1, 2, v2, c.announced)
				if c.then != "" {
					r.clients.Go(func() {
						time.Sleep(time.Second)
						r.restart(1, 3, c.then, c.announced)
					})
				}
				if c.healed > 0 {
					r.clients.Go(func() {
						time.Sleep(time.Until(upgradedAt.Add(c.healed)))
						r.partition.cut("")
					})
				}
				time.Sleep(time.Until(upgradedAt.Add(c.began)))
				r.play(int((c.crashed - c.began) / (20 * time.Millisecond)))
				r.crashServer["i-1"]()
				r.clients.Wait()
				joined, byNew := r.joined(), 0
				for _, e := range r.executions.Executions() {
					if e.Server == "i-1" && e.Version != v1 {
						byNew++
					}
				}
				t.Logf("%d streams, %d at the upgraded server, %d joined", len(r.streams), byNew, len(joined))
				r.g.Expect(joined).To(BeEmpty())
			})
		})
	}
}
