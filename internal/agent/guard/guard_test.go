package guard

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/plat/store"
	"foxtailcroft/internal/standin/motor"
	"foxtailcroft/internal/standin/platf"
)

// record writes the node's record at an epoch.
func record(g *WithT, s store.Store, epoch int64) {
	value, err := json.Marshal(plan.Node{Name: "e", Epoch: epoch})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: store.StatePrefix + plan.NodeKey("e"), Value: value}}})
	g.Expect(err).NotTo(HaveOccurred())
}

// TestPausedAgentsOrder gives an order to an engine that ignores fencing
// numbers, after a pause or without one, with a successor or without one.
func TestPausedAgentsOrder(t *testing.T) {
	cases := []struct {
		name      string
		paused    time.Duration
		successor bool
		away      bool
		loaded    bool
		fenced    bool
	}{
		{"not paused, store away", 100 * time.Millisecond, false, true, true, false},
		{"paused, still the holder", 5 * time.Second, false, false, true, false},
		{"paused past the successor's start", 5 * time.Second, true, false, false, true},
		{"paused, store away", 5 * time.Second, true, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := platf.NewMemory(1)
				record(g, s, 1)
				guard := New(s, "e")
				guard.SetEpoch(1)
				// Nothing beats while the process is paused.
				time.Sleep(c.paused)
				if c.successor {
					record(g, s, 2)
				}
				s.SetFaults(platf.Faults{Away: c.away})
				m := motor.New(motor.Settings{MemoryBytes: 10, LoadTime: time.Second})
				err := m.Load(context.Background(), engine.Order{Item: engine.Item{Model: "m"}, Bytes: 1, Fence: 1, Check: guard.Check})
				var fenced *engine.Fenced
				g.Expect(err == nil).To(Equal(c.loaded), "%v", err)
				g.Expect(errors.As(err, &fenced)).To(Equal(c.fenced), "%v", err)
				g.Expect(m.Holds()).To(HaveLen(map[bool]int{true: 1}[c.loaded]))
			})
		})
	}
}
