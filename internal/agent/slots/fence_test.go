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
	"foxtailcroft/internal/standin/motor"
)

// lateEngine holds each load back, as a network does with a message of a process that has died meanwhile.
type lateEngine struct {
	engine.Engine
	delay time.Duration
}

func (l lateEngine) Load(_ context.Context, o engine.Order) error {
	time.Sleep(l.delay)
	return l.Engine.Load(context.Background(), o)
}

type freePermits struct{}

func (freePermits) Permit(context.Context, engine.Item, int, time.Duration) func() { return func() {} }

// TestPredecessorsLateLoadIsRefused delivers a load of epoch 1 after epoch 2 has read the engine back.
func TestPredecessorsLateLoadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := motor.New(motor.Settings{MemoryBytes: 100, CheckFence: true, LoadTime: time.Second, ReportLag: time.Second})
		late := lateEngine{m, 10 * time.Second}
		done := make(chan error, 1)
		time.AfterFunc(0, func() {
			done <- late.Load(context.Background(), engine.Order{Item: engine.Item{Model: "m", Version: "1"}, Bytes: 60, Fence: 1})
		})
		next, stop := New(Settings{Node: "e", MemoryBytes: 100, Epoch: 2, OrderTimeout: time.Minute, ReportLag: time.Second},
			view.NewHolder(), m, freePermits{}, func() {}, zap.NewNop())
		defer stop()
		g.Expect(next.Recover(context.Background(), 2)).To(Succeed())
		next.Confirm(2)
		var fenced *engine.Fenced
		g.Expect(<-done).To(BeAssignableToTypeOf(fenced))
		g.Expect(m.Holds()).To(BeEmpty())
	})
}
