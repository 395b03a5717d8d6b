package proofs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/standin/engsim"
)

// adapter declares an adapter of the model base that takes gb gigabytes.
func adapter(name, base string, gb int64) kinds.Resource {
	return kinds.Resource{Kind: kinds.Adapter, Name: name, Adapter: &kinds.AdapterSpec{Model: base, Version: "1", MemoryBytes: gb * gigabyte}}
}

// TestMemoryNeverOvercommitted requests more models and adapters than an engine's
// memory holds. The engine stand-in counts every load that doesn't fit.
func TestMemoryNeverOvercommitted(t *testing.T) {
	cases := []struct {
		name     string
		settings func(s *engsim.Settings)
		fault    func(r *rig, m *engsim.Engine)
	}{
		{"concurrent loads of models and adapters", nil, nil},
		{"engine loses answers to orders", nil, func(_ *rig, m *engsim.Engine) { m.SetFaults(engsim.Faults{LoseAnswers: 6}) }},
		{"loads fail", nil, func(_ *rig, m *engsim.Engine) { m.SetFaults(engsim.Faults{FailLoads: 4}) }},
		{"unload slower than the next load", func(s *engsim.Settings) { s.UnloadTime, s.LoadTime = 6*time.Second, time.Second }, nil},
		{"engine report lags by three seconds", func(s *engsim.Settings) { s.MaxReportAge = 3 * time.Second }, nil},
		{"load of a killed agent completes late, engine checks fencing tokens", nil, killAgentDuringLoads},
		{"load of a killed agent completes late, engine ignores fencing tokens", func(s *engsim.Settings) { s.CheckFence = false }, killAgentDuringLoads},
		{"orders hang for five seconds", nil, func(_ *rig, m *engsim.Engine) {
			m.SetFaults(engsim.Faults{HangOrders: true})
			time.Sleep(5 * time.Second)
			m.SetFaults(engsim.Faults{})
		}},
		{"a model's size and version change", nil, func(r *rig, _ *engsim.Engine) {
			grown := model("m0", 40, 1)
			grown.Model.Version = "2"
			r.applyAndWait(r.anyEntry(), grown)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				s := fastEngine()
				if c.settings != nil {
					c.settings(&s)
				}
				r.startEntry("entry-0", "d0")
				r.startEngineAgent("engine-0", "d0", s)
				resources := []kinds.Resource{adapter("a0", "m0", 12), adapter("a1", "m0", 12), adapter("a2", "m1", 12)}
				for i := range 4 {
					resources = append([]kinds.Resource{model(fmt.Sprintf("m%d", i), 24, 1)}, resources...)
				}
				r.applyAndWait(r.anyEntry(), resources...)
				var fns []func()
				for i := range 24 {
					names := []string{"m0", "m1", "m2", "m3", "a0", "a1", "a2"}
					fns = append(fns, func() {
						time.Sleep(time.Duration(i) * 700 * time.Millisecond)
						a := chatRequest{model: names[i%len(names)], prompt: fmt.Sprint(i), tokens: 3, timeout: 60 * time.Second}
						if got := r.anyEntry().chat(a); got.status == 200 {
							r.g.Expect(got.text).To(Equal(a.wantText()))
						}
					})
				}
				if c.fault != nil {
					fns = append(fns, func() { c.fault(r, r.engines["engine-0"]) })
				}
				runAll(fns...)
				r.g.Expect(r.engines["engine-0"].Stats().Loads).To(BeNumerically(">", 3))
			})
		})
	}
}

// killAgentDuringLoads kills and restarts the agent three times, 1.5 s after its
// start each time, while loads are under way.
func killAgentDuringLoads(r *rig, _ *engsim.Engine) {
	for range 3 {
		time.Sleep(1500 * time.Millisecond)
		r.kill(r.agentNamed("engine-0").process)
		time.Sleep(200 * time.Millisecond)
		r.restart("engine-0")
	}
}

// TestReplicaOfADeletedModelIsUnloaded deletes a model while its agent is down,
// and checks that the next agent unloads the replica left in the engine.
func TestReplicaOfADeletedModelIsUnloaded(t *testing.T) {
	inBubble(t, func(r *rig) {
		s := fastEngine()
		s.CheckFence = false
		r.startEntry("entry-0", "d0")
		r.startEngineAgent("engine-0", "d0", s)
		r.applyAndWait(r.anyEntry(), model("m0", 24, 1))
		a := chatRequest{model: "m0", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(200))
		r.kill(r.agentNamed("engine-0").process)
		r.g.Expect(r.anyEntry().request("DELETE", "/admin/v1/Model/m0", "", nil).Code).To(Equal(200))
		r.restart("engine-0")
		r.eventually(time.Minute, func() string {
			return fmt.Sprint(r.engines["engine-0"].LoadedItems())[1 : len(fmt.Sprint(r.engines["engine-0"].LoadedItems()))-1]
		})
	})
}
