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

// TestEveryRequestEndsInTime lets the back ends and links fail and checks every
// request's end against its deadline, by the caller's clock.
func TestEveryRequestEndsInTime(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"engine hangs in its orders", func(r *rig) { r.motors["engine-0"].SetFaults(engsim.Faults{HangOrders: true}) }},
		{"engine hangs in its tokens", func(r *rig) {
			time.Sleep(5 * time.Second)
			r.motors["engine-0"].SetFaults(engsim.Faults{HangTokens: true})
		}},
		{"endpoint reclaimed while requests wait", func(r *rig) {
			time.Sleep(2 * time.Second)
			r.kill(r.agentNamed("engine-0").process)
			r.unlist("engine-0")
		}},
		{"entry's peers fall silent", func(r *rig) {
			time.Sleep(2 * time.Second)
			r.net.part("addr-entry-0", "addr-engine-0")
		}},
		{"store away", func(r *rig) { r.entryNamed("entry-0").gate.set(true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.entry("entry-0", "d0")
				r.engineAgent("engine-0", "d0", motorSettings())
				small := model("m", 20, 1)
				small.Model.Concurrency = 2
				r.put(r.anyEntry(), small)
				var fns []func()
				for i := range 40 {
					timeout := time.Duration(1+i%12) * time.Second
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*100) * time.Millisecond)
						got := r.entryNamed("entry-0").chat(ask{model: "m", prompt: fmt.Sprint(i), tokens: 20, timeout: timeout, stream: i%2 == 0})
						r.g.Expect(got.took).To(BeNumerically("<=", timeout), "%+v", got)
						if got.status != http.StatusOK {
							r.g.Expect(got.code).NotTo(BeEmpty(), "%+v", got)
						}
					})
				}
				fns = append(fns, func() { c.fault(r) })
				at(fns...)
			})
		})
	}
}

// TestStockCheckIsNotHeldBehindQuotes fills a service with patient calls and sends urgent ones after them.
func TestStockCheckIsNotHeldBehindQuotes(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.serviceAgent("desk-0", "d0", "desk")
		desk := service("desk")
		desk.Service.Concurrency = 4
		r.put(r.anyEntry(), desk)
		r.shops["desk-0"].SetFaults(svcsim.Faults{Delay: 2 * time.Second})
		const quotes = 20
		var fns []func()
		for range quotes {
			fns = append(fns, func() {
				w := r.anyEntry().do(http.MethodGet, "/services/desk/quote", "", map[string]string{"X-Class": "patient", "X-Timeout-Ms": "60000"})
				r.g.Expect(w.Code).To(Equal(http.StatusOK))
			})
		}
		fns = append(fns, func() {
			time.Sleep(time.Second)
			began := time.Now()
			w := r.anyEntry().do(http.MethodGet, "/services/desk/stock", "", map[string]string{"X-Class": "urgent", "X-Timeout-Ms": "5000"})
			r.g.Expect(w.Code).To(Equal(http.StatusOK))
			r.g.Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
		})
		at(fns...)
	})
}

// TestPatientQuoteDoesNotStarve keeps urgent calls coming faster than they can be served beside one quote.
func TestPatientQuoteDoesNotStarve(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.serviceAgent("desk-0", "d0", "desk")
		desk := service("desk")
		desk.Service.Concurrency = 2
		r.put(r.anyEntry(), desk)
		r.shops["desk-0"].SetFaults(svcsim.Faults{Delay: time.Second})
		var fns []func()
		for i := range 250 {
			fns = append(fns, func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				r.anyEntry().do(http.MethodGet, "/services/desk/stock", "", map[string]string{"X-Class": "urgent", "X-Timeout-Ms": "9000"})
			})
		}
		fns = append(fns, func() {
			time.Sleep(2 * time.Second)
			w := r.anyEntry().do(http.MethodGet, "/services/desk/quote", "", map[string]string{"X-Class": "patient", "X-Timeout-Ms": "60000"})
			r.g.Expect(w.Code).To(Equal(http.StatusOK), w.Body.String())
		})
		at(fns...)
	})
}

// TestRefusalIsPrompt asks for what cannot be done in time.
func TestRefusalIsPrompt(t *testing.T) {
	bubble(t, func(r *rig) {
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", motorSettings())
		r.put(r.anyEntry(), model("m", 20, 1))
		got := r.anyEntry().chat(ask{model: "m", prompt: "x", tokens: 3, timeout: 2 * time.Second, class: kinds.Urgent})
		r.g.Expect(got.code).To(Equal("DeadlineTooSoon"))
		r.g.Expect(got.notRun).To(Equal("true"))
		r.g.Expect(got.took).To(BeNumerically("<", 50*time.Millisecond))
	})
}
