// Package scale measures how memory, processor time and traffic grow with the
// size of a deployment. docs/CAPACITY.md is computed from these figures.
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

// deploymentSize holds the numbers of objects in a deployment.
type deploymentSize struct {
	models, adapters, nodes int
}

// sizes returns the measured sizes in ascending order. The last one is the
// size that the system is designed for.
func sizes() []deploymentSize {
	return []deploymentSize{{40, 80, 30}, {325, 1075, 3025}, {1300, 4300, 12100}}
}

func (s deploymentSize) String() string {
	return fmt.Sprintf("models=%d,adapters=%d,nodes=%d", s.models, s.adapters, s.nodes)
}

// domainCount is the number of failure domains.
const domainCount = 15

// encode returns v as JSON, and fails the benchmark if it can't be encoded.
func encode(b *testing.B, v any) json.RawMessage {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// node returns the registration of the i-th node. Every sixth node is an entry.
func node(i int) plan.Node {
	n := plan.Node{
		Name: fmt.Sprintf("endpoint-%05d", i), Role: plan.Agent, Address: fmt.Sprintf("10.%d.%d.%d:9100", i>>16, i>>8&255, i&255),
		Region: fmt.Sprintf("region-%d", i%7), Domain: fmt.Sprintf("domain-%02d", i%domainCount), Epoch: 3, Back: plan.EngineEndpoint, MemoryBytes: 640 << 30,
	}
	if i%6 == 0 {
		n.Role, n.Back, n.MemoryBytes = plan.Entry, "", 0
	}
	return n
}

// modelPlan returns a plan of the i-th model with two active slots.
func modelPlan(i, nodes int) plan.Plan {
	p := plan.Plan{Target: fmt.Sprintf("model-%04d", i), NextNumber: 2}
	for s := range 2 {
		// Slots are placed on agents only, and every sixth node is an entry.
		agentIndex := (i*7 + s*5 + 1) % nodes
		if agentIndex%6 == 0 {
			agentIndex++
		}
		p.Slots = append(p.Slots, plan.Slot{Number: int64(s), Endpoint: fmt.Sprintf("endpoint-%05d", agentIndex), Domain: fmt.Sprintf("domain-%02d", agentIndex%domainCount), State: plan.Active})
	}
	return p
}

// configuration returns the full configuration of a deployment of size s.
func configuration(b *testing.B, s deploymentSize) view.Delta {
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

// heapBytes returns the bytes of heap objects after two garbage collections.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkViewMemory reports the memory that one node's copy of the configuration takes.
func BenchmarkViewMemory(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			d := configuration(b, s)
			var valueBytes int
			for _, e := range d.Entries {
				valueBytes += len(e.Key) + len(e.Value)
			}
			heapBefore := heapBytes()
			h := view.NewHolder()
			for b.Loop() {
				h = view.NewHolder()
				h.ApplyDelta(d)
			}
			b.ReportMetric(float64(heapBytes()-heapBefore)/(1<<20), "heap-MB")
			b.ReportMetric(float64(valueBytes)/(1<<20), "values-MB")
			runtime.KeepAlive(h)
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkApplyChange reports the time to apply one change at a node that has
// the full configuration.
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

// BenchmarkDelta reports the time to encode one change for one follower, and its bytes.
func BenchmarkDelta(b *testing.B) {
	for _, s := range sizes() {
		b.Run(s.String(), func(b *testing.B) {
			h := view.NewHolder()
			d := configuration(b, s)
			h.ApplyDelta(d)
			h.ApplyDelta(view.Delta{Revision: d.Revision + 1, Entries: []view.Entry{{Key: "Plan/model-0003", Value: encode(b, modelPlan(3, s.nodes)), Revision: d.Revision + 1}}})
			deltaBytes := 0
			for b.Loop() {
				deltaBytes = len(encode(b, h.View().ChangesSince(d.Revision)))
			}
			b.ReportMetric(float64(deltaBytes), "bytes")
		})
	}
}
