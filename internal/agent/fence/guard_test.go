package fence

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
	"foxtailcroft/internal/standin/engsim"
	"foxtailcroft/internal/standin/kvsim"
)

// writeNodeRecord writes the node's record with the epoch to the store.
func writeNodeRecord(g *WithT, s store.Store, epoch int64) {
	value, err := json.Marshal(plan.Node{Name: "e", Epoch: epoch})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: store.StatePrefix + plan.NodeKey("e"), Value: value}}})
	g.Expect(err).NotTo(HaveOccurred())
}

// TestOrderAfterPause sends an order to an engine that does not check fencing
// tokens, with and without a pause, a successor and an available store. A paused
// process must not send orders once a successor has taken the endpoint over.
func TestOrderAfterPause(t *testing.T) {
	cases := []struct {
		name         string
		pause        time.Duration
		hasSuccessor bool
		storeAway    bool
		loaded       bool
		fenced       bool
	}{
		{"not paused, store unavailable: loads", 100 * time.Millisecond, false, true, true, false},
		{"paused, epoch unchanged: loads", 5 * time.Second, false, false, true, false},
		{"paused until a successor took over: fenced", 5 * time.Second, true, false, false, true},
		{"paused, store unavailable: fails without an order", 5 * time.Second, true, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := kvsim.NewMemoryStore(1)
				writeNodeRecord(g, s, 1)
				guard := New(s, "e")
				guard.SetEpoch(1)
				// A paused process records no heartbeats: guard.Run is not started.
				time.Sleep(c.pause)
				if c.hasSuccessor {
					writeNodeRecord(g, s, 2)
				}
				s.SetFaults(kvsim.Faults{Away: c.storeAway})
				eng := engsim.New(engsim.Settings{MemoryBytes: 10, LoadTime: time.Second})
				err := eng.Load(context.Background(), engine.Order{Item: engine.Item{Model: "m"}, Bytes: 1, Fence: 1, Authorize: guard.CheckEpoch})
				var fenced *engine.Fenced
				g.Expect(err == nil).To(Equal(c.loaded), "%v", err)
				g.Expect(errors.As(err, &fenced)).To(Equal(c.fenced), "%v", err)
				g.Expect(eng.LoadedItems()).To(HaveLen(map[bool]int{true: 1}[c.loaded]))
			})
		})
	}
}
