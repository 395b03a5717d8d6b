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

// TestFrontOutOfStepKnowsWhoBeginsAStream guards against streams that a front takes for those of the old version, as
// the server was upgraded under its ID while the front was cut off.
func TestFrontOutOfStepKnowsWhoBeginsAStream(t *testing.T) {
	const v1, v2 = `"1.8"`, `"1.9"`
	withHarness(t, func(h *harness) {
		fronts := []string{"front-1", "front-2", "front-3"}
		r := newVersionsRig(h, fronts, v1)
		defer func() { r.stopFronts(fronts...) }()
		r.only = r.notPlanner(fronts)
		r.partition.cut(r.only)
		defer r.partition.cut("")
		time.Sleep(300 * time.Millisecond)
		r.restart(1, v2)
		time.Sleep(2500 * time.Millisecond)
		r.play(40)
		r.crashServer["i-1"]()
		r.clients.Wait()
		joined, byNew := r.joined(), 0
		for _, e := range r.executions.Executions() {
			if e.Version == v2 {
				byNew++
			}
		}
		t.Logf("%d of 40 streams at the upgraded server, %d joined", byNew, len(joined))
		r.g.Expect(joined).To(BeEmpty())
	})
}
