package tree

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

const (
	firstRestart = 200 * time.Millisecond
	maxRestart   = 10 * time.Second
)

// Failed reports a part whose end ends the process.
type Failed struct {
	Part string
	Err  error
}

// Error names the part and the cause.
func (f *Failed) Error() string {
	return fmt.Sprintf("part %s failed: %v", f.Part, f.Err)
}

// Unwrap returns the cause.
func (f *Failed) Unwrap() error {
	return f.Err
}

// Tree supervises the parts of one process.
type Tree struct {
	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	failed chan *Failed
	mu     sync.Mutex
	closes []func()
}

// New returns an empty tree and the function that tells its parts to stop, runs the clean-ups, newest first, and waits for the parts.
func New(ctx context.Context, log *zap.Logger) (*Tree, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := &Tree{log: log, ctx: ctx, cancel: cancel, failed: make(chan *Failed, 1)}
	return t, t.close
}

// Critical starts a part whose error or panic ends the process.
func (t *Tree) Critical(name string, run func(context.Context) error) {
	t.group.Go(func() {
		if err := t.guarded(run); err != nil && t.ctx.Err() == nil {
			t.log.Error("part failed", zap.String("Part", name), zap.Error(err))
			t.Fail(name, err)
		}
	})
}

// Keep starts a part that is started again, after a growing pause, when it ends before the tree does.
func (t *Tree) Keep(name string, run func(context.Context)) {
	t.group.Go(func() {
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval, pause.MaxInterval = firstRestart, maxRestart
		for {
			err := t.guarded(func(ctx context.Context) error {
				run(ctx)
				return nil
			})
			if t.ctx.Err() != nil {
				return
			}
			t.log.Error("part ended, restarting", zap.String("Part", name), zap.Error(err))
			select {
			case <-time.After(pause.NextBackOff()):
			case <-t.ctx.Done():
				return
			}
		}
	})
}

// guarded runs a part and turns its panic into an error.
func (t *Tree) guarded(run func(context.Context) error) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = run(t.ctx) })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}

// Fail ends the process because of a part.
func (t *Tree) Fail(name string, err error) {
	select {
	case t.failed <- &Failed{name, err}:
	default:
	}
}

// Failed delivers the first part whose end ends the process.
func (t *Tree) Failed() <-chan *Failed {
	return t.failed
}

// OnClose adds a clean-up that runs once the parts are told to stop, before those added earlier.
func (t *Tree) OnClose(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closes = append(t.closes, fn)
}

func (t *Tree) close() {
	t.cancel()
	t.mu.Lock()
	closes := slices.Clone(t.closes)
	t.mu.Unlock()
	slices.Reverse(closes)
	for _, fn := range closes {
		fn()
	}
	t.group.Wait()
}
