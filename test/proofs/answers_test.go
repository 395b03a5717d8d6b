package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/standin/engsim"
)

// TestEachCallerGetsItsOwnCompleteAnswer breaks streams and links under many
// concurrent requests that all have the same request id, and checks that every
// caller gets exactly the tokens of its own answer.
func TestEachCallerGetsItsOwnCompleteAnswer(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *rig)
	}{
		{"no fault", func(*rig) {}},
		{"a stream breaks and resumes on the same engine", func(r *rig) {
			r.engines[r.slotEndpoint("m", 0)].SetFaults(engsim.Faults{BreakAfter: 5})
		}},
		{"the replica's agent is killed during the streams", func(r *rig) { r.kill(r.agentNamed(r.slotEndpoint("m", 0)).process) }},
		{"the agent's links are closed repeatedly", func(r *rig) {
			for range 4 {
				r.net.closeLinks("addr-" + r.slotEndpoint("m", 0))
				time.Sleep(150 * time.Millisecond)
			}
		}},
		{"the agent's links drop all bytes", func(r *rig) { r.net.silence("addr-"+r.slotEndpoint("m", 0), "") }},
		{"the endpoint is partitioned from an entry for ten seconds", func(r *rig) {
			r.net.partition("addr-entry-0", "addr-"+r.slotEndpoint("m", 0))
			time.Sleep(10 * time.Second)
			r.net.heal("addr-entry-0", "addr-"+r.slotEndpoint("m", 0))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.startEntry("entry-0", "d0")
				r.startEntry("entry-1", "d1")
				r.startEngineAgent("engine-0", "d0", fastEngine())
				r.startEngineAgent("engine-1", "d1", fastEngine())
				r.applyAndWait(r.anyEntry(), model("m", 20, 2))
				warm := chatRequest{model: "m", prompt: "warm", tokens: 1, timeout: 30 * time.Second}
				r.g.Expect(r.anyEntry().chat(warm).status).To(Equal(http.StatusOK))
				var fns []func()
				for i := range 30 {
					a := chatRequest{model: "m", prompt: fmt.Sprint("question ", i), tokens: 40, timeout: 40 * time.Second, stream: i%2 == 0, id: "same-id"}
					e := r.entryNamed(fmt.Sprintf("entry-%d", i%2))
					fns = append(fns, func() {
						time.Sleep(time.Duration(i*20) * time.Millisecond)
						got := e.chat(a)
						r.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
						r.g.Expect(got.errorCode).To(BeEmpty())
						r.g.Expect(got.text).To(Equal(a.wantText()))
					})
				}
				fns = append(fns, func() {
					time.Sleep(600 * time.Millisecond)
					c.fault(r)
				})
				runAll(fns...)
			})
		})
	}
}
