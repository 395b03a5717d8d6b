// Package scale measures the slopes that docs/CAPACITY.md is worked out from.
package scale

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
)

// size is a deployment's size; full is the size to design for.
type size struct {
	models, adapters, nodes int
}

func sizes() []size {
	return []size{{40, 80, 30}, {325, 1075, 3025}, {1300, 4300, 12100}}
}

func (s size) String() string {
	return fmt.Sprintf("models=%d,adapters=%d,nodes=%d", s.models, s.adapters, s.nodes)
}

const domains = 15

func encode(b *testing.B, v any) json.RawMessage {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func node(i int) plan.Node {
	n := plan.Node{
		Name: fmt.Sprintf("endpoint-%05d", i), Role: plan.Agent, Address: fmt.Sprintf("10.%d.%d.%d:9100", i>>16, i>>8&255, i&255),
		Region: fmt.Sprintf("region-%d", i%7), Domain: fmt.Sprintf("domain-%02d", i%domains), Epoch: 3, Back: plan.EngineEndpoint, MemoryBytes: 640 << 30,
	}
	if i%6 == 0 {
		n.Role, n.Back, n.MemoryBytes = plan.Entry, "", 0
	}
	return n
}

func modelPlan(i, nodes int) plan.Plan {
	p := plan.Plan{Target: fmt.Sprintf("model-%04d", i), NextNumber: 2}
	for s := range 2 {
		// The slots lie on agents: every sixth node is an entry.
		at := (i*7 + s*5 + 1) % nodes
		if at%6 == 0 {
			at++
		}
		p.Slots = append(p.Slots, plan.Slot{Number: int64(s), Endpoint: fmt.Sprintf("endpoint-%05d", at), Domain: fmt.Sprintf("domain-%02d", at%domains), State: plan.Active})
	}
	return p
}

// configuration builds a full configuration of a size.
func configuration(b *testing.B, s size) view.Delta {
	b.Helper()
	d := view.Delta{Full: true}
	add := func(key string, v any) {
		d.Revision++
		d.Entries = append(d.Entries, view.Entry{Key: key, Value: encode(b, v), Revision: d.Revision})
	}
	for i := range s.models {
		name := fmt.Sprintf("model-%04d", i)
		add("Model/"+name, kinds.Resource{Kind: kinds.Model, Name: name, Generation: 1, Model: &kinds.ModelSpec{Version: "1", MemoryBytes: 40 << 30, MaxReplicas: 2}})
		add(plan.ModelKey(name), modelPlan(i, s.nodes))
	}
	for i := range s.adapters {
		name := fmt.Sprintf("adapter-%04d", i)
		add("Adapter/"+name, kinds.Resource{Kind: kinds.Adapter, Name: name, Generation: 1, Adapter: &kinds.AdapterSpec{
			Model: fmt.Sprintf("model-%04d", i%max(1, s.models)), Version: "1", MemoryBytes: 1 << 28,
		}})
	}
	for i := range s.nodes {
		n := node(i)
		add(plan.NodeKey(n.Name), n)
	}
	return d
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkViewMemory reports the memory of one node's configuration.
func BenchmarkViewMemory(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			d := configuration(b, s)
			var bytes int
			for _, e := range d.Entries {
				bytes += len(e.Key) + len(e.Value)
			}
			before := heap()
			h := view.NewHolder()
			for b.Loop() {
				h = view.NewHolder()
				h.ApplyDelta(d)
			}
			b.ReportMetric(float64(heap()-before)/(1<<20), "heap-MB")
			b.ReportMetric(float64(bytes)/(1<<20), "values-MB")
			runtime.KeepAlive(h)
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkApplyChange reports the processor time of one change at a node that has everything else.
func BenchmarkApplyChange(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			h := view.NewHolder()
			d := configuration(b, s)
			h.ApplyDelta(d)
			value := encode(b, modelPlan(3, s.nodes))
			revision := d.Revision
			for b.Loop() {
				revision++
				h.ApplyDelta(view.Delta{Revision: revision, Entries: []view.Entry{{Key: "Plan/model-0003", Value: value, Revision: revision}}})
			}
		})
	}
}

// BenchmarkDelta reports the processor time and bytes of one change for one follower.
func BenchmarkDelta(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			h := view.NewHolder()
			d := configuration(b, s)
			h.ApplyDelta(d)
			h.ApplyDelta(view.Delta{Revision: d.Revision + 1, Entries: []view.Entry{{Key: "Plan/model-0003", Value: encode(b, modelPlan(3, s.nodes)), Revision: d.Revision + 1}}})
			bytes := 0
			for b.Loop() {
				bytes = len(encode(b, h.View().ChangesSince(d.Revision)))
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
