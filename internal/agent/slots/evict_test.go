package slots

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/standin/engsim"
)

// holderWithModels returns a holder whose view shows models of 60 bytes, each with a slot at "e".
func holderWithModels(g *WithT, names ...string) *view.Holder {
	h := view.NewHolder()
	d := view.Delta{}
	add := func(key string, v any) {
		value, err := json.Marshal(v)
		g.Expect(err).NotTo(HaveOccurred())
		d.Revision++
		d.Entries = append(d.Entries, view.Entry{Key: key, Value: value, Revision: d.Revision})
	}
	for _, name := range names {
		add("Model/"+name, kinds.Resource{Kind: kinds.Model, Name: name, Model: &kinds.ModelSpec{Version: "1", MemoryBytes: 60, MaxReplicas: 1}})
		add(plan.ModelKey(name), plan.Plan{Target: name}.WithSlot("e", "d"))
	}
	h.ApplyDelta(d)
	return h
}

// TestLoadEvictsIdleReplica loads a second model where only one fits: the idle
// one must be evicted first and the eviction recorded in the audit trail.
func TestLoadEvictsIdleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var auditRecords []audit.Record
		eng := engsim.New(engsim.Settings{MemoryBytes: 100, LoadTime: time.Second, UnloadTime: time.Second})
		m, stop := New(Settings{Node: "e", MemoryBytes: 100, OrderTimeout: time.Minute, RecordEviction: func(r audit.Record) { auditRecords = append(auditRecords, r) }},
			holderWithModels(g, "first", "second"), eng, noopPermits{}, func() {}, zap.NewNop())
		defer stop()
		m.AllowLoads(1)
		for _, name := range []string{"first", "second"} {
			grant, err := m.Acquire(context.Background(), Request{Model: name, Deadline: time.Now().Add(time.Minute)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Cold).To(BeTrue())
			grant.Release()
		}
		g.Expect(auditRecords).To(HaveLen(1))
		g.Expect(auditRecords[0].Action).To(Equal("Evicted"))
		g.Expect(auditRecords[0].Key).To(Equal("Model/first"))
		g.Expect(eng.Stats().Overcommits).To(BeZero())
	})
}
