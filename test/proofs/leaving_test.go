package proofs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// noWorkAfter is when a leaving endpoint may get no new work any more.
const noWorkAfter = 3 * time.Second

// TestLeavingEndpointGetsNoNewWork keeps requests coming while an endpoint
// leaves, with a list that lags by thirty seconds.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(r *rig, name string)
	}{
		{"by notice", func(r *rig, name string) {
			a := r.agentNamed(name)
			r.group.Go(func() { a.Drain(context.Background()) })
		}},
		{"without notice", func(r *rig, name string) { r.kill(r.agentNamed(name).process) }},
		{"by notice, its links silent", func(r *rig, name string) {
			a := r.agentNamed(name)
			r.net.silence(a.addr, "")
			r.group.Go(func() { a.Drain(context.Background()) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubbleWithLag(t, 30*time.Second, func(r *rig) {
				r.entry("entry-0", "d0")
				r.entry("entry-1", "d1")
				r.engineAgent("engine-0", "d0", motorSettings())
				r.engineAgent("engine-1", "d1", motorSettings())
				r.put(r.anyEntry(), model("m", 20, 2))
				leaver := r.holder("m", 0)
				var left time.Time
				var mu sync.Mutex
				var fns []func()
				for i := range 120 {
					fns = append(fns, func() {
						time.Sleep(time.Duration(i) * 250 * time.Millisecond)
						got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).chat(ask{model: "m", prompt: fmt.Sprint(i), tokens: 10, timeout: 20 * time.Second})
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
					})
				}
				generated := 0
				fns = append(fns, func() {
					time.Sleep(8 * time.Second)
					r.markLeaving(leaver)
					mu.Lock()
					left = time.Now()
					mu.Unlock()
					c.leave(r, leaver)
					time.Sleep(noWorkAfter)
					generated = r.motors[leaver].Stats().Generated
				})
				at(fns...)
				r.g.Expect(left.IsZero()).To(BeFalse())
				r.g.Expect(r.motors[leaver].Stats().Generated).To(Equal(generated), "new work after %s", noWorkAfter)
			})
		})
	}
}

// TestGracefulShutdownCutsOffNothing drains a process with work of every sort in flight.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	cases := []struct {
		name  string
		drain func(r *rig)
	}{
		{"entry", func(r *rig) { r.entryNamed("entry-0").Drain(context.Background()) }},
		{"agent of the replica", func(r *rig) { r.agentNamed(r.holder("m", 0)).Drain(context.Background()) }},
		{"agents of the service", func(r *rig) {
			at(func() { r.agentNamed("book-0").Drain(context.Background()) }, func() { r.agentNamed("book-1").Drain(context.Background()) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.bookings()
				r.engineAgent("engine-0", "d0", motorSettings())
				r.put(r.anyEntry(), model("m", 20, 1), model("cold", 20, 1))
				r.g.Expect(r.anyEntry().chat(ask{model: "m", prompt: "warm", tokens: 1, timeout: 30 * time.Second}).status).To(Equal(http.StatusOK))
				var fns []func()
				for i := range 12 {
					a := ask{model: "m", prompt: fmt.Sprint(i), tokens: 100, timeout: 30 * time.Second, stream: i%2 == 0}
					if i%3 == 0 {
						a.model = "cold"
					}
					fns = append(fns, func() {
						got := r.entryNamed("entry-0").chat(a)
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
						r.g.Expect(got.text).To(Equal(a.want()))
					}, func() {
						got := r.entryNamed("entry-0").post("book", fmt.Sprint(i), fmt.Sprint("k", i), 10*time.Second)
						r.g.Expect(got.status).To(Equal(http.StatusCreated), got.body)
					})
				}
				fns = append(fns, func() {
					time.Sleep(20 * time.Millisecond)
					c.drain(r)
				})
				at(fns...)
			})
		})
	}
}

// TestReadinessTurnsBeforeTheListenerCloses checks the order of an entry's leaving.
func TestReadinessTurnsBeforeTheListenerCloses(t *testing.T) {
	bubble(t, func(r *rig) {
		e := r.entry("entry-0", "d0")
		r.eventually(10*time.Second, func() string {
			if e.do(http.MethodGet, "/readyz", "", nil).Code != http.StatusOK {
				return "not ready"
			}
			return ""
		})
		at(func() { e.Drain(context.Background()) }, func() {
			time.Sleep(100 * time.Millisecond)
			r.g.Expect(e.do(http.MethodGet, "/readyz", "", nil).Code).To(Equal(http.StatusServiceUnavailable))
			r.g.Expect(e.do(http.MethodGet, "/v1/models", "", nil).Code).To(Equal(http.StatusOK))
		})
	})
}

// TestHardLimitIsAnsweredHonestly drains an agent whose work outlasts the limit.
func TestHardLimitIsAnsweredHonestly(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", motorSettings())
		r.put(r.anyEntry(), model("m", 20, 1))
		at(func() {
			got := r.anyEntry().chat(ask{model: "m", prompt: "x", tokens: 8000, timeout: 5 * time.Minute})
			r.g.Expect(got.code).To(BeElementOf("Draining", "EndpointLost", "EngineFailed"), got.body)
			r.g.Expect(got.notRun).To(Equal("false"))
		}, func() {
			time.Sleep(10 * time.Second)
			r.agentNamed("engine-0").Drain(context.Background())
			time.Sleep(time.Second)
			r.kill(r.agentNamed("engine-0").process)
		})
	})
}
