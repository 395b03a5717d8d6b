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
	"foxtailcroft/internal/standin/motor"
)

// declared returns a holder that shows models of 60 bytes with a slot at "e".
func declared(g *WithT, names ...string) *view.Holder {
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
	h.Apply(d)
	return h
}

// TestIdleReplicaMakesWay wakes a second model where only one fits.
func TestIdleReplicaMakesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var noted []audit.Record
		eng := motor.New(motor.Settings{MemoryBytes: 100, LoadTime: time.Second, UnloadTime: time.Second})
		m, stop := New(Settings{Node: "e", MemoryBytes: 100, OrderTimeout: time.Minute, Note: func(r audit.Record) { noted = append(noted, r) }},
			declared(g, "first", "second"), eng, freePermits{}, func() {}, zap.NewNop())
		defer stop()
		m.Confirm(1)
		for _, name := range []string{"first", "second"} {
			grant, err := m.Acquire(context.Background(), Want{Model: name, Deadline: time.Now().Add(time.Minute)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Cold).To(BeTrue())
			grant.Release()
		}
		g.Expect(noted).To(HaveLen(1))
		g.Expect(noted[0].Action).To(Equal("Evicted"))
		g.Expect(noted[0].Key).To(Equal("Model/first"))
		g.Expect(eng.Stats().Overcommits).To(BeZero())
	})
}
