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

// Failure reports a part whose failure stops the process.
type Failure struct {
	Part string
	Err  error
}

// Error returns the name of the part and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("part %s failed: %v", f.Part, f.Err)
}

// Unwrap returns the error of the part.
func (f *Failure) Unwrap() error {
	return f.Err
}

// Supervisor supervises the parts of one process, each of which runs in a goroutine.
type Supervisor struct {
	log      *zap.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	failed   chan *Failure
	mu       sync.Mutex
	cleanups []func()
}

// New returns a supervisor without parts and a function that cancels the parts' context, runs the
// clean-ups, newest first, and waits for the parts to end.
func New(ctx context.Context, log *zap.Logger) (*Supervisor, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := &Supervisor{log: log, ctx: ctx, cancel: cancel, failed: make(chan *Failure, 1)}
	return t, t.close
}

// Critical starts a part whose error or panic stops the process.
func (t *Supervisor) Critical(name string, run func(context.Context) error) {
	t.group.Go(func() {
		if err := t.runRecovered(run); err != nil && t.ctx.Err() == nil {
			t.log.Error("part failed; stopping the process", zap.String("Part", name), zap.Error(err))
			t.Fail(name, err)
		}
	})
}

// KeepRunning starts a part that is restarted with exponential backoff if it returns or panics before the supervisor is closed.
func (t *Supervisor) KeepRunning(name string, run func(context.Context)) {
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
func (t *Supervisor) runRecovered(run func(context.Context) error) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = run(t.ctx) })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}

// Fail reports the failure of a part, which stops the process; only the first failure counts.
func (t *Supervisor) Fail(name string, err error) {
	select {
	case t.failed <- &Failure{name, err}:
	default:
	}
}

// Failures returns a channel that delivers the first failure of a part.
func (t *Supervisor) Failures() <-chan *Failure {
	return t.failed
}

// OnClose adds a clean-up that runs when the supervisor is closed, after the parts' context is
// canceled and before the clean-ups added earlier.
func (t *Supervisor) OnClose(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cleanups = append(t.cleanups, fn)
}

func (t *Supervisor) close() {
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
