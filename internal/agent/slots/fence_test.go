package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/standin/engsim"
)

// delayedEngine delays each load, as a network may deliver an order after its sender has died.
type delayedEngine struct {
	engine.Engine
	delay time.Duration
}

func (e delayedEngine) Load(_ context.Context, o engine.Order) error {
	time.Sleep(e.delay)
	return e.Engine.Load(context.Background(), o)
}

type noopPermits struct{}

func (noopPermits) AcquirePermit(context.Context, engine.Item, int, time.Duration) func() {
	return func() {}
}

// TestDelayedLoadWithOldEpochIsFenced delivers a load of epoch 1 after the agent
// of epoch 2 has read the engine back: the engine must refuse it.
func TestDelayedLoadWithOldEpochIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		eng := engsim.New(engsim.Settings{MemoryBytes: 100, CheckFence: true, LoadTime: time.Second, MaxReportAge: time.Second})
		delayed := delayedEngine{eng, 10 * time.Second}
		done := make(chan error, 1)
		time.AfterFunc(0, func() {
			done <- delayed.Load(context.Background(), engine.Order{Item: engine.Item{Model: "m", Version: "1"}, Bytes: 60, Fence: 1})
		})
		successor, stop := New(Settings{Node: "e", MemoryBytes: 100, Epoch: 2, OrderTimeout: time.Minute, ReportLag: time.Second},
			view.NewHolder(), eng, noopPermits{}, func() {}, zap.NewNop())
		defer stop()
		g.Expect(successor.Recover(context.Background(), 2)).To(Succeed())
		successor.AllowLoads(2)
		var fenced *engine.Fenced
		g.Expect(<-done).To(BeAssignableToTypeOf(fenced))
		g.Expect(eng.LoadedItems()).To(BeEmpty())
	})
}
