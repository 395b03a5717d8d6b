package work

import (
	"context"
	"errors"
	"time"

	"foxtailcroft/internal/agent/slots"
	"foxtailcroft/internal/agent/tries"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/wire"
)

// maxEngineTries bounds the generations that one attempt starts on its engine.
const maxEngineTries = 2

// generate runs a model's attempt.
func (w *Worker) generate(ctx context.Context, a *tries.Attempt) wire.Done {
	began := time.Now()
	grant, err := w.Slots.Acquire(ctx, slots.Request{
		Model: a.Run.Model, Adapter: a.Run.Adapter, Class: a.Run.Class, Deadline: a.Deadline, Final: a.Run.Final,
	})
	if err != nil {
		return wire.Done{Refusal: fault.Of(err)}
	}
	defer grant.Release()
	if !a.Begin() {
		return wire.Done{Refusal: fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)}
	}
	s := &stream{attempt: a, began: began, next: a.Run.Resume.Tokens, prefix: a.Run.Resume.Text}
	finish, err := w.stream(ctx, a, grant, s)
	d := wire.Done{Finish: finish, Cold: grant.Cold, Wait: s.first}
	if err != nil {
		d.Refusal = refusalOf(ctx, err, s)
	}
	return d
}

// stream is the state of an answer that may take more than one generation.
type stream struct {
	attempt *tries.Attempt
	began   time.Time
	first   time.Duration
	next    int
	prefix  string
}

func (s *stream) token(t engine.Token) error {
	if s.first == 0 {
		s.first = time.Since(s.began)
	}
	s.attempt.Emit(1, []byte(t.Text), nil)
	s.next = t.Index + 1
	s.prefix += t.Text
	return nil
}

// stream generates, continuing once on the same engine if a stream breaks.
func (w *Worker) stream(ctx context.Context, a *tries.Attempt, grant slots.Grant, s *stream) (string, error) {
	for try := 1; ; try++ {
		finish, err := w.Engine.Generate(ctx, engine.Request{
			Item: grant.Item, Body: a.Body, Priority: a.Run.Class.Rank(), SkipTokens: s.next, Prefix: s.prefix,
		}, s.token)
		var broken *engine.Broken
		if err == nil || ctx.Err() != nil || try == maxEngineTries || !errors.As(err, &broken) {
			return finish, err
		}
	}
}

// refusalOf words a generation's failure; a generation that delivered nothing and was rejected did not run.
func refusalOf(ctx context.Context, err error, s *stream) *fault.Refusal {
	var rejected *engine.Rejected
	var missing *engine.NotLoaded
	var refusal *fault.Refusal
	switch {
	case errors.As(context.Cause(ctx), &refusal):
		return refusal
	case errors.As(err, &rejected) && s.next == s.attempt.Run.Resume.Tokens:
		return fault.NotRun(fault.BadRequest, "%v", rejected)
	case errors.As(err, &missing):
		return fault.NotRun(fault.EngineFailed, "%v", missing)
	case ctx.Err() != nil:
		return fault.Failed(fault.DeadlineExceeded, "the answer was not complete at the deadline after %d tokens", s.next)
	}
	return fault.Failed(fault.EngineFailed, "%v", err)
}
