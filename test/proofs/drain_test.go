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

// newWorkLimit is the time after which a leaving endpoint may get no more new work.
const newWorkLimit = 3 * time.Second

// TestLeavingEndpointGetsNoNewWork sends requests while an endpoint leaves. The
// instance list lags by 30 seconds, so it is too slow to stop new work.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(r *rig, name string)
	}{
		{"after a notice", func(r *rig, name string) {
			a := r.agentNamed(name)
			r.group.Go(func() { a.Drain(context.Background()) })
		}},
		{"without notice", func(r *rig, name string) { r.kill(r.agentNamed(name).process) }},
		{"after a notice, and its links drop all bytes", func(r *rig, name string) {
			a := r.agentNamed(name)
			r.net.silence(a.addr, "")
			r.group.Go(func() { a.Drain(context.Background()) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubbleWithListLag(t, 30*time.Second, func(r *rig) {
				r.startEntry("entry-0", "d0")
				r.startEntry("entry-1", "d1")
				r.startEngineAgent("engine-0", "d0", fastEngine())
				r.startEngineAgent("engine-1", "d1", fastEngine())
				r.applyAndWait(r.anyEntry(), model("m", 20, 2))
				leaving := r.slotEndpoint("m", 0)
				var leftAt time.Time
				var mu sync.Mutex
				var fns []func()
				for i := range 120 {
					fns = append(fns, func() {
						time.Sleep(time.Duration(i) * 250 * time.Millisecond)
						got := r.entryNamed(fmt.Sprintf("entry-%d", i%2)).chat(chatRequest{model: "m", prompt: fmt.Sprint(i), tokens: 10, timeout: 20 * time.Second})
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
					})
				}
				generated := 0
				fns = append(fns, func() {
					time.Sleep(8 * time.Second)
					r.markLeaving(leaving)
					mu.Lock()
					leftAt = time.Now()
					mu.Unlock()
					c.leave(r, leaving)
					time.Sleep(newWorkLimit)
					generated = r.engines[leaving].Stats().Generated
				})
				runAll(fns...)
				r.g.Expect(leftAt.IsZero()).To(BeFalse())
				r.g.Expect(r.engines[leaving].Stats().Generated).To(Equal(generated), "the endpoint got new work more than %s after it left", newWorkLimit)
			})
		})
	}
}

// TestGracefulShutdownCutsOffNothing drains a process while chat requests, cold
// starts and bookings are in flight, and checks that all of them are answered.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	cases := []struct {
		name  string
		drain func(r *rig)
	}{
		{"entry", func(r *rig) { r.entryNamed("entry-0").Drain(context.Background()) }},
		{"agent of the replica", func(r *rig) { r.agentNamed(r.slotEndpoint("m", 0)).Drain(context.Background()) }},
		{"agents of the service", func(r *rig) {
			runAll(func() { r.agentNamed("book-0").Drain(context.Background()) }, func() { r.agentNamed("book-1").Drain(context.Background()) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startBookings()
				r.startEngineAgent("engine-0", "d0", fastEngine())
				r.applyAndWait(r.anyEntry(), model("m", 20, 1), model("cold", 20, 1))
				r.g.Expect(r.anyEntry().chat(chatRequest{model: "m", prompt: "warm", tokens: 1, timeout: 30 * time.Second}).status).To(Equal(http.StatusOK))
				var fns []func()
				for i := range 12 {
					a := chatRequest{model: "m", prompt: fmt.Sprint(i), tokens: 100, timeout: 30 * time.Second, stream: i%2 == 0}
					if i%3 == 0 {
						a.model = "cold"
					}
					fns = append(fns, func() {
						got := r.entryNamed("entry-0").chat(a)
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
						r.g.Expect(got.text).To(Equal(a.wantText()))
					}, func() {
						got := r.entryNamed("entry-0").book("book", fmt.Sprint(i), fmt.Sprint("k", i), 10*time.Second)
						r.g.Expect(got.status).To(Equal(http.StatusCreated), got.body)
					})
				}
				fns = append(fns, func() {
					time.Sleep(20 * time.Millisecond)
					c.drain(r)
				})
				runAll(fns...)
			})
		})
	}
}

// TestReadinessFailsBeforeTheListenerCloses checks that a draining entry reports
// not ready while it still serves requests.
func TestReadinessFailsBeforeTheListenerCloses(t *testing.T) {
	inBubble(t, func(r *rig) {
		e := r.startEntry("entry-0", "d0")
		r.eventually(10*time.Second, func() string {
			if e.request(http.MethodGet, "/readyz", "", nil).Code != http.StatusOK {
				return "not ready"
			}
			return ""
		})
		runAll(func() { e.Drain(context.Background()) }, func() {
			time.Sleep(100 * time.Millisecond)
			r.g.Expect(e.request(http.MethodGet, "/readyz", "", nil).Code).To(Equal(http.StatusServiceUnavailable))
			r.g.Expect(e.request(http.MethodGet, "/v1/models", "", nil).Code).To(Equal(http.StatusOK))
		})
	})
}

// TestRequestCutOffAtDrainLimitIsNotReportedAsNotRun drains an agent whose
// request runs longer than the drain limit, and checks that the answer doesn't
// claim that the request has not run.
func TestRequestCutOffAtDrainLimitIsNotReportedAsNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", fastEngine())
		r.applyAndWait(r.anyEntry(), model("m", 20, 1))
		runAll(func() {
			got := r.anyEntry().chat(chatRequest{model: "m", prompt: "x", tokens: 8000, timeout: 5 * time.Minute})
			r.g.Expect(got.errorCode).To(BeElementOf("Draining", "EndpointLost", "EngineFailed"), got.body)
			r.g.Expect(got.notRun).To(Equal("false"))
		}, func() {
			time.Sleep(10 * time.Second)
			r.agentNamed("engine-0").Drain(context.Background())
			time.Sleep(time.Second)
			r.kill(r.agentNamed("engine-0").process)
		})
	})
}
