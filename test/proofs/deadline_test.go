package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/svcsim"
)

// TestEveryRequestEndsInTime makes engines, links, endpoints and the store fail,
// and checks that every request ends before its deadline, by the caller's clock.
func TestEveryRequestEndsInTime(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"engine hangs in load and unload orders", func(r *rig) { r.engines["engine-0"].SetFaults(engsim.Faults{HangOrders: true}) }},
		{"engine hangs while it generates tokens", func(r *rig) {
			time.Sleep(5 * time.Second)
			r.engines["engine-0"].SetFaults(engsim.Faults{HangTokens: true})
		}},
		{"endpoint disappears while requests wait", func(r *rig) {
			time.Sleep(2 * time.Second)
			r.kill(r.agentNamed("engine-0").process)
			r.removeFromList("engine-0")
		}},
		{"entry is partitioned from the endpoint", func(r *rig) {
			time.Sleep(2 * time.Second)
			r.net.partition("addr-entry-0", "addr-engine-0")
		}},
		{"store is unreachable for the entry", func(r *rig) { r.entryNamed("entry-0").gate.setCut(true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startEntry("entry-0", "d0")
				r.startEngineAgent("engine-0", "d0", fastEngine())
				small := model("m", 20, 1)
				small.Model.Concurrency = 2
				r.applyAndWait(r.anyEntry(), small)
				var fns []func()
				for i := range 40 {
					timeout := time.Duration(1+i%12) * time.Second
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*100) * time.Millisecond)
						got := r.entryNamed("entry-0").chat(chatRequest{model: "m", prompt: fmt.Sprint(i), tokens: 20, timeout: timeout, stream: i%2 == 0})
						r.g.Expect(got.elapsed).To(BeNumerically("<=", timeout), "%+v", got)
						if got.status != http.StatusOK {
							r.g.Expect(got.errorCode).NotTo(BeEmpty(), "%+v", got)
						}
					})
				}
				fns = append(fns, func() { c.fault(r) })
				runAll(fns...)
			})
		})
	}
}

// TestUrgentCallIsNotDelayedByPatientCalls fills a service with slow patient calls
// and checks that an urgent call sent after them overtakes those that still wait.
func TestUrgentCallIsNotDelayedByPatientCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startServiceAgent("desk-0", "d0", "desk")
		desk := service("desk")
		desk.Service.Concurrency = 4
		r.applyAndWait(r.anyEntry(), desk)
		r.serviceEndpoints["desk-0"].SetFaults(svcsim.Faults{Delay: 2 * time.Second})
		const quotes = 20
		var fns []func()
		for range quotes {
			fns = append(fns, func() {
				w := r.anyEntry().request(http.MethodGet, "/services/desk/quote", "", map[string]string{"X-Class": "patient", "X-Timeout-Ms": "60000"})
				r.g.Expect(w.Code).To(Equal(http.StatusOK))
			})
		}
		fns = append(fns, func() {
			time.Sleep(time.Second)
			began := time.Now()
			w := r.anyEntry().request(http.MethodGet, "/services/desk/stock", "", map[string]string{"X-Class": "urgent", "X-Timeout-Ms": "5000"})
			r.g.Expect(w.Code).To(Equal(http.StatusOK))
			r.g.Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
		})
		runAll(fns...)
	})
}

// TestPatientCallIsNotStarvedByUrgentCalls sends urgent calls faster than the
// service can answer them, and checks that a patient call is still served.
func TestPatientCallIsNotStarvedByUrgentCalls(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startServiceAgent("desk-0", "d0", "desk")
		desk := service("desk")
		desk.Service.Concurrency = 2
		r.applyAndWait(r.anyEntry(), desk)
		r.serviceEndpoints["desk-0"].SetFaults(svcsim.Faults{Delay: time.Second})
		var fns []func()
		for i := range 250 {
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				r.anyEntry().request(http.MethodGet, "/services/desk/stock", "", map[string]string{"X-Class": "urgent", "X-Timeout-Ms": "9000"})
			})
		}
		fns = append(fns, func() {
			time.Sleep(2 * time.Second)
			w := r.anyEntry().request(http.MethodGet, "/services/desk/quote", "", map[string]string{"X-Class": "patient", "X-Timeout-Ms": "60000"})
			r.g.Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		})
		runAll(fns...)
	})
}

// TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce sends a request whose
// timeout is shorter than the cold start.
func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", fastEngine())
		r.applyAndWait(r.anyEntry(), model("m", 20, 1))
		got := r.anyEntry().chat(chatRequest{model: "m", prompt: "x", tokens: 3, timeout: 2 * time.Second, class: kinds.Urgent})
		r.g.Expect(got.errorCode).To(Equal("DeadlineTooSoon"))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(got.elapsed).To(BeNumerically("<", 50*time.Millisecond))
	})
}
