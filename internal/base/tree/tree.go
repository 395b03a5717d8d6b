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
	initialRestartDelay = 200 * time.Millisecond
	maxRestartDelay     = 10 * time.Second
)

// Failed reports a part whose failure stops the process.
type Failed struct {
	Part string
	Err  error
}

// Error returns the name of the part and the cause.
func (f *Failed) Error() string {
	return fmt.Sprintf("part %s failed: %v", f.Part, f.Err)
}

// Unwrap returns the error of the part.
func (f *Failed) Unwrap() error {
	return f.Err
}

// Tree supervises the parts of one process, each of which runs in a goroutine.
type Tree struct {
	log      *zap.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	failed   chan *Failed
	mu       sync.Mutex
	cleanups []func()
}

// New returns an empty tree and a function that cancels the parts' context, runs the
// clean-ups, newest first, and waits for the parts to end.
func New(ctx context.Context, log *zap.Logger) (*Tree, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := &Tree{log: log, ctx: ctx, cancel: cancel, failed: make(chan *Failed, 1)}
	return t, t.close
}

// Critical starts a part whose error or panic stops the process.
func (t *Tree) Critical(name string, run func(context.Context) error) {
	t.group.Go(func() {
		if err := t.runRecovered(run); err != nil && t.ctx.Err() == nil {
			t.log.Error("part failed; stopping the process", zap.String("Part", name), zap.Error(err))
			t.Fail(name, err)
		}
	})
}

// Keep starts a part that is restarted with exponential backoff if it returns or panics before the tree is closed.
func (t *Tree) Keep(name string, run func(context.Context)) {
	t.group.Go(func() {
		restartDelay := backoff.NewExponentialBackOff()
		restartDelay.InitialInterval, restartDelay.MaxInterval = initialRestartDelay, maxRestartDelay
		for {
			err := t.runRecovered(func(ctx context.Context) error {
				run(ctx)
				return nil
			})
			if t.ctx.Err() != nil {
				return
			}
			t.log.Error("part ended early; restarting it after a delay", zap.String("Part", name), zap.Error(err))
			select {
			case <-time.After(restartDelay.NextBackOff()):
			case <-t.ctx.Done():
				return
			}
		}
	})
}

// runRecovered runs a part and returns its error, or its panic as an error.
func (t *Tree) runRecovered(run func(context.Context) error) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = run(t.ctx) })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}

// Fail reports the failure of a part, which stops the process; only the first failure counts.
func (t *Tree) Fail(name string, err error) {
	select {
	case t.failed <- &Failed{name, err}:
	default:
	}
}

// Failed returns a channel that delivers the first failure of a part.
func (t *Tree) Failed() <-chan *Failed {
	return t.failed
}

// OnClose adds a clean-up that runs when the tree is closed, after the parts' context is
// canceled and before the clean-ups added earlier.
func (t *Tree) OnClose(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cleanups = append(t.cleanups, fn)
}

func (t *Tree) close() {
	t.cancel()
	t.mu.Lock()
	cleanups := slices.Clone(t.cleanups)
	t.mu.Unlock()
	slices.Reverse(cleanups)
	for _, fn := range cleanups {
		fn()
	}
	t.group.Wait()
}
