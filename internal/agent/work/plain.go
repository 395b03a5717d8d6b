package work

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/agent/claim"
	"foxtailcroft/internal/agent/tries"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/wire"
)

// call runs a plain service's attempt.
func (w *Worker) call(ctx context.Context, a *tries.Attempt) wire.Done {
	began := time.Now()
	if a.Run.Key != "" && !a.Run.Plain.Idempotent {
		return w.callClaimed(ctx, a, began)
	}
	answer, refusal := w.dispatch(ctx, a)
	if refusal != nil {
		return wire.Done{Refusal: refusal}
	}
	return emit(a, answer, began)
}

// dispatch waits for a place and makes the call once, unless the attempt was revoked.
func (w *Worker) dispatch(ctx context.Context, a *tries.Attempt) (plain.Answer, *fault.Refusal) {
	release, err := w.Gate.Acquire(ctx, a.Run.Class, a.Deadline)
	if err != nil {
		return plain.Answer{}, fault.Of(err)
	}
	defer release()
	if !a.Begin() {
		return plain.Answer{}, fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)
	}
	p := a.Run.Plain
	answer, err := w.Plain.Do(ctx, plain.Call{
		Method: p.Method, Path: p.Path, Query: p.Query, Header: p.Header, Body: a.Body, Idempotent: p.Idempotent,
	})
	var unsent *plain.NotSent
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &unsent):
		return answer, fault.NotRun(fault.EngineFailed, "service %q: %v", a.Run.Service, err)
	}
	return answer, fault.Failed(fault.Unsettled, "service %q: %v", a.Run.Service, err)
}

func emit(a *tries.Attempt, answer plain.Answer, began time.Time) wire.Done {
	first := time.Since(began)
	head := &wire.PlainHead{Status: answer.Status, Header: answer.Header}
	for data := answer.Body; ; {
		n := min(len(data), wire.PartBytes)
		a.Emit(0, data[:n], head)
		head, data = nil, data[n:]
		if len(data) == 0 {
			return wire.Done{Wait: first}
		}
	}
}

// callClaimed runs a call under its idempotency key.
func (w *Worker) callClaimed(ctx context.Context, a *tries.Attempt, began time.Time) wire.Done {
	log := w.claimLog(a.Run.Plain.Partition)
	if s := w.owner(a.Run.Plain.Partition); s.Endpoint != w.Self.Name {
		return wire.Done{Refusal: fault.NotRun(fault.Deposed, "partition %d of service %q belongs to endpoint %q", a.Run.Plain.Partition, a.Run.Service, s.Endpoint).WithEndpoint(s.Endpoint)}
	}
	out, err := log.Claim(ctx, a.Run.Key, digestOf(a))
	if err != nil {
		return wire.Done{Refusal: fault.Of(err)}
	}
	switch out.State {
	case claim.Other:
		return wire.Done{Refusal: fault.NotRun(fault.KeyReused, "idempotency key %q was used for a different call", a.Run.Key)}
	case claim.Done:
		d := emit(a, out.Answer.(plain.Answer), began)
		d.Replayed = true
		return d
	case claim.New:
		return w.dispatchClaimed(ctx, a, log, began)
	}
	return wire.Done{Refusal: fault.Failed(fault.Unsettled, "an earlier call with idempotency key %q has an unknown outcome", a.Run.Key)}
}

// dispatchClaimed makes the call of a fresh key and records what became of it.
func (w *Worker) dispatchClaimed(ctx context.Context, a *tries.Attempt, log *claim.Log, began time.Time) wire.Done {
	answer, refusal := w.dispatch(ctx, a)
	switch {
	case refusal == nil:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.Done, Answer: answer})
		return emit(a, answer, began)
	case refusal.NotRun:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.New})
	default:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.Unknown})
	}
	return wire.Done{Refusal: refusal}
}

// owner returns the slot that owns a claim partition.
func (w *Worker) owner(partition int) plan.Slot {
	owners := w.Holder.View().Plan(plan.ClaimKey(w.Self.Service)).Slots
	if partition >= len(owners) {
		return plan.Slot{}
	}
	return owners[partition]
}

func (w *Worker) claimLog(partition int) *claim.Log {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.claims[partition]; l != nil {
		return l
	}
	var retention time.Duration
	if res, ok := w.Holder.View().Service(w.Self.Service); ok {
		retention = res.Service.ClaimRetention.Std()
	}
	l, stop := claim.NewLog(w.Store, w.Self.Service, partition, w.Self.Name, w.Incarnation, retention)
	if w.claims == nil {
		w.claims = map[int]*claim.Log{}
	}
	w.claims[partition] = l
	w.stops = append(w.stops, stop)
	return l
}

// Expire forgets idempotency keys past their retention.
func (w *Worker) Expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.claims {
		l.Expire(now)
	}
}

// digestOf identifies a call, so that a key used for another call is noticed.
func digestOf(a *tries.Attempt) uint64 {
	d := xxhash.New()
	for _, part := range []string{a.Run.Plain.Method, a.Run.Plain.Path, a.Run.Plain.Query, string(a.Body)} {
		// A hash never fails to take bytes.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
