package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailcroft/test/seeds"
)

func TestMain(m *testing.M) { seeds.RunTests(m, 200) }

var start = time.Unix(1_000_000, 0)

func ids(requests []Request) []string {
	var out []string
	for _, a := range requests {
		out = append(out, a.ID)
	}
	return out
}

func TestGrantsByRankThenDeadline(t *testing.T) {
	g := NewWithT(t)
	d := NewLimiter(Limits{ConcurrentModels: 1, ConcurrentAdapters: 2, ModelsPerSecond: 100}, start)
	d.Enqueue(Request{ID: "first", Rank: 1, Deadline: start.Add(time.Second)})
	g.Expect(ids(d.Grant(start))).To(Equal([]string{"first"}))
	d.Enqueue(Request{ID: "patient", Rank: 2, Deadline: start.Add(time.Second)})
	d.Enqueue(Request{ID: "late", Rank: 0, Deadline: start.Add(time.Minute)})
	d.Enqueue(Request{ID: "soon", Rank: 0, Deadline: start.Add(time.Second)})
	d.Enqueue(Request{ID: "adapter", Adapter: true, Rank: 2, Deadline: start.Add(time.Minute)})
	now := start.Add(time.Second)
	g.Expect(ids(d.Grant(now))).To(Equal([]string{"adapter"}))
	for _, want := range []string{"soon", "late", "patient"} {
		d.Release("first")
		d.Release("soon")
		d.Release("late")
		g.Expect(ids(d.Grant(now))).To(Equal([]string{want}))
		now = now.Add(time.Second)
	}
}

func TestUnreturnedPermitExpires(t *testing.T) {
	g := NewWithT(t)
	d := NewLimiter(Limits{ConcurrentModels: 1, ConcurrentAdapters: 1, ModelsPerSecond: 100}, start)
	d.Enqueue(Request{ID: "lost"})
	g.Expect(d.Grant(start)).To(HaveLen(1))
	d.Enqueue(Request{ID: "next"})
	g.Expect(d.Grant(start.Add(time.Minute))).To(BeEmpty())
	g.Expect(ids(d.Grant(start.Add(3 * time.Minute)))).To(Equal([]string{"next"}))
}

// TestLimitsHold checks the concurrency and rate limits over any order of requests and returns.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{ConcurrentModels: 4, ConcurrentAdapters: 6, ModelsPerSecond: 2}
		d, now := NewLimiter(limits, start), start
		held := map[string]bool{}
		modelLoads := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "give back") {
				for id := range held {
					d.Release(id)
					delete(held, id)
					break
				}
			}
			d.Enqueue(Request{ID: fmt.Sprint(i), Adapter: rapid.Bool().Draw(t, "adapter"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Deadline: now})
			models, adapters := 0, 0
			for _, a := range d.Grant(now) {
				held[a.ID] = a.Adapter
				if !a.Adapter {
					modelLoads++
				}
			}
			for _, adapter := range held {
				if adapter {
					adapters++
				} else {
					models++
				}
			}
			if models > limits.ConcurrentModels || adapters > limits.ConcurrentAdapters {
				t.Fatalf("%d model loads and %d adapter loads at once exceed the limits", models, adapters)
			}
			if allowed := float64(limits.ConcurrentModels) + limits.ModelsPerSecond*now.Sub(start).Seconds(); float64(modelLoads) > allowed {
				t.Fatalf("%d model loads begun, more than the allowed %g", modelLoads, allowed)
			}
		}
	})
}
