package worker

import (
	"context"
	"errors"
	"time"

	"foxtailcroft/internal/agent/runs"
	"foxtailcroft/internal/agent/slots"
	"foxtailcroft/internal/back/engine"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/link/wire"
)

// maxGenerations bounds the generations that one attempt starts on its engine.
const maxGenerations = 2

// generate runs an attempt on the model engine.
func (w *Worker) generate(ctx context.Context, a *runs.Attempt) wire.Done {
	startedAt := time.Now()
	grant, err := w.Slots.Acquire(ctx, slots.Request{
		Model: a.Run.Model, Adapter: a.Run.Adapter, Class: a.Run.Class, Deadline: a.Deadline, Final: a.Run.Final,
	})
	if err != nil {
		return wire.Done{Refusal: fault.AsRefusal(err)}
	}
	defer grant.Release()
	if !a.Begin() {
		return wire.Done{Refusal: fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)}
	}
	s := &answerStream{attempt: a, startedAt: startedAt, nextIndex: a.Run.Resume.Tokens, text: a.Run.Resume.Text}
	finish, err := w.streamTokens(ctx, a, grant, s)
	d := wire.Done{Finish: finish, Cold: grant.Cold, Wait: s.timeToFirstToken}
	if err != nil {
		d.Refusal = generationRefusal(ctx, err, s)
	}
	return d
}

// answerStream is the state of an answer that may take more than one generation.
type answerStream struct {
	attempt          *runs.Attempt
	startedAt        time.Time
	timeToFirstToken time.Duration
	// nextIndex is the index of the next token, text the answer before it.
	nextIndex int
	text      string
}

// emitToken adds a generated token to the attempt's answer.
func (s *answerStream) emitToken(t engine.Token) error {
	if s.timeToFirstToken == 0 {
		s.timeToFirstToken = time.Since(s.startedAt)
	}
	s.attempt.Emit(1, []byte(t.Text), nil)
	s.nextIndex = t.Index + 1
	s.text += t.Text
	return nil
}

// streamTokens runs the generation, which is resumed once on the same engine if
// the stream breaks, and returns the finish reason.
func (w *Worker) streamTokens(ctx context.Context, a *runs.Attempt, grant slots.Grant, s *answerStream) (string, error) {
	for try := 1; ; try++ {
		finish, err := w.Engine.Generate(ctx, engine.Request{
			Item: grant.Item, Body: a.Body, Priority: a.Run.Class.Rank(), SkipTokens: s.nextIndex, Prefix: s.text,
		}, s.emitToken)
		var broken *engine.BrokenStream
		if err == nil || ctx.Err() != nil || try == maxGenerations || !errors.As(err, &broken) {
			return finish, err
		}
	}
}

// generationRefusal returns the refusal for a failed generation. One that was
// rejected before its first token, or found its item not loaded, did not run.
func generationRefusal(ctx context.Context, err error, s *answerStream) *fault.Refusal {
	var rejected *engine.Rejected
	var notLoaded *engine.NotLoaded
	var refusal *fault.Refusal
	switch {
	case errors.As(context.Cause(ctx), &refusal):
		return refusal
	case errors.As(err, &rejected) && s.nextIndex == s.attempt.Run.Resume.Tokens:
		return fault.NotRun(fault.BadRequest, "%v", rejected)
	case errors.As(err, &notLoaded):
		return fault.NotRun(fault.EngineFailed, "%v", notLoaded)
	case ctx.Err() != nil:
		return fault.Failed(fault.DeadlineExceeded, "the answer was not complete at the deadline after %d tokens", s.nextIndex)
	}
	return fault.Failed(fault.EngineFailed, "%v", err)
}
