package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/standin/engsim"
)

// TestEachRouterGetsItsOwnWholeAnswer breaks streams and links under many
// concurrent requests with one request id and compares every answer, to the token.
func TestEachRouterGetsItsOwnWholeAnswer(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"no fault", func(*rig) {}},
		{"a stream breaks and continues on the same engine", func(r *rig) {
			r.motors[r.holder("m", 0)].SetFaults(engsim.Faults{BreakAfter: 5})
		}},
		{"the replica dies in mid-stream", func(r *rig) { r.kill(r.agentNamed(r.holder("m", 0)).process) }},
		{"the agent's links are cut", func(r *rig) {
			for range 4 {
				r.net.cut("addr-" + r.holder("m", 0))
				time.Sleep(150 * time.Millisecond)
			}
		}},
		{"the agent's links fall silent", func(r *rig) { r.net.silence("addr-"+r.holder("m", 0), "") }},
		{"the endpoint is parted from an entry for a while", func(r *rig) {
			r.net.part("addr-entry-0", "addr-"+r.holder("m", 0))
			time.Sleep(10 * time.Second)
			r.net.heal("addr-entry-0", "addr-"+r.holder("m", 0))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				r.entry("entry-0", "d0")
				r.entry("entry-1", "d1")
				r.engineAgent("engine-0", "d0", motorSettings())
				r.engineAgent("engine-1", "d1", motorSettings())
				r.put(r.anyEntry(), model("m", 20, 2))
				warm := ask{model: "m", prompt: "warm", tokens: 1, timeout: 30 * time.Second}
				r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK))
				var fns []func()
				for i := range 30 {
					a := ask{model: "m", prompt: fmt.Sprint("question ", i), tokens: 40, timeout: 40 * time.Second, stream: i%2 == 0, id: "same-id"}
					e := r.entryNamed(fmt.Sprintf("entry-%d", i%2))
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*20) * time.Millisecond)
						got := e.chat(a)
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
						r.g.Expect(got.code).To(BeEmpty())
						r.g.Expect(got.text).To(Equal(a.want()))
					})
				}
				fns = append(fns, func() {
					time.Sleep(600 * time.Millisecond)
					c.fault(r)
				})
				at(fns...)
			})
		})
	}
}
