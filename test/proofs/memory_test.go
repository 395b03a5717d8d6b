package proofs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/standin/engsim"
)

func adapter(name, base string, gb int64) kinds.Resource {
	return kinds.Resource{Kind: kinds.Adapter, Name: name, Adapter: &kinds.AdapterSpec{Model: base, Version: "1", MemoryBytes: gb * gigabyte}}
}

// TestMemoryNeverOvercommitted asks for more than one engine holds; the engine
// stand-in counts every load that does not fit.
func TestMemoryNeverOvercommitted(t *testing.T) {
	cases := []struct {
		name     string
		settings func(s *engsim.Settings)
		fault    func(r *rig, m *engsim.Engine)
	}{
		{"loads and adapters racing", nil, nil},
		{"unload's answer lost", nil, func(_ *rig, m *engsim.Engine) { m.SetFaults(engsim.Faults{LoseAnswers: 6}) }},
		{"loads fail", nil, func(_ *rig, m *engsim.Engine) { m.SetFaults(engsim.Faults{FailLoads: 4}) }},
		{"unload slower than the next load", func(s *engsim.Settings) { s.UnloadTime, s.LoadTime = 6*time.Second, time.Second }, nil},
		{"report lags by three seconds", func(s *engsim.Settings) { s.MaxReportAge = 3 * time.Second }, nil},
		{"predecessor's load lands late, engine checks fencing numbers", nil, killInLoad},
		{"predecessor's load lands late, engine ignores fencing numbers", func(s *engsim.Settings) { s.CheckFence = false }, killInLoad},
		{"orders hang for a while", nil, func(_ *rig, m *engsim.Engine) {
			m.SetFaults(engsim.Faults{HangOrders: true})
			time.Sleep(5 * time.Second)
			m.SetFaults(engsim.Faults{})
		}},
		{"a declared model changes its size and version", nil, func(r *rig, _ *engsim.Engine) {
			grown := model("m0", 40, 1)
			grown.Model.Version = "2"
			r.put(r.anyEntry(), grown)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(r *rig) {
				s := motorSettings()
				if c.settings != nil {
					c.settings(&s)
				}
				r.entry("entry-0", "d0")
				r.engineAgent("engine-0", "d0", s)
				resources := []kinds.Resource{adapter("a0", "m0", 12), adapter("a1", "m0", 12), adapter("a2", "m1", 12)}
				for i := range 4 {
					resources = append([]kinds.Resource{model(fmt.Sprintf("m%d", i), 24, 1)}, resources...)
				}
				r.put(r.anyEntry(), resources...)
				var fns []func()
				for i := range 24 {
					names := []string{"m0", "m1", "m2", "m3", "a0", "a1", "a2"}
					fns = append(fns, func() {
						time.Sleep(time.Duration(i) * 700 * time.Millisecond)
						a := ask{model: names[i%len(names)], prompt: fmt.Sprint(i), tokens: 3, timeout: 60 * time.Second}
						if got := r.anyEntry().chat(a); got.status == 200 {
							r.g.Expect(got.text).To(Equal(a.want()))
						}
					})
				}
				if c.fault != nil {
					fns = append(fns, func() { c.fault(r, r.motors["engine-0"]) })
				}
				at(fns...)
				r.g.Expect(r.motors["engine-0"].Stats().Loads).To(BeNumerically(">", 3))
			})
		})
	}
}

func killInLoad(r *rig, _ *engsim.Engine) {
	for range 3 {
		time.Sleep(1500 * time.Millisecond)
		r.kill(r.agentNamed("engine-0").process)
		time.Sleep(200 * time.Millisecond)
		r.restart("engine-0")
	}
}

// TestUnwantedStrayIsUnloaded checks that what a lost agent left behind does not stay.
func TestUnwantedStrayIsUnloaded(t *testing.T) {
	bubble(t, func(r *rig) {
		s := motorSettings()
		s.CheckFence = false
		r.entry("entry-0", "d0")
		r.engineAgent("engine-0", "d0", s)
		r.put(r.anyEntry(), model("m0", 24, 1))
		a := ask{model: "m0", prompt: "x", tokens: 3, timeout: 30 * time.Second}
		r.g.Expect(r.anyEntry().chat(a).status).To(Equal(200))
		r.kill(r.agentNamed("engine-0").process)
		r.g.Expect(r.anyEntry().do("DELETE", "/admin/v1/Model/m0", "", nil).Code).To(Equal(200))
		r.restart("engine-0")
		r.eventually(time.Minute, func() string {
			return fmt.Sprint(r.motors["engine-0"].LoadedItems())[1 : len(fmt.Sprint(r.motors["engine-0"].LoadedItems()))-1]
		})
	})
}
