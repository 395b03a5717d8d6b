package worker

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailcroft/internal/agent/claim"
	"foxtailcroft/internal/agent/runs"
	"foxtailcroft/internal/back/plain"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/link/wire"
)

// callService runs an attempt on the plain service.
func (w *Worker) callService(ctx context.Context, a *runs.Attempt) wire.Done {
	startedAt := time.Now()
	if a.Run.Key != "" && !a.Run.Plain.Idempotent {
		return w.callWithKey(ctx, a, startedAt)
	}
	var reading runs.Reading
	defer reading.Close()
	answer, refusal := w.dispatch(ctx, a, &reading)
	if refusal != nil {
		return wire.Done{Refusal: refusal}
	}
	return emitAnswer(a, answer, startedAt, &reading)
}

// firstAnswerBytes is the memory that must be free for an answer before its call is made.
const firstAnswerBytes = 64 << 10

// dispatch waits until the call may run and makes it once, unless the attempt was revoked. The answer is charged
// to the reading, which the caller closes.
func (w *Worker) dispatch(ctx context.Context, a *runs.Attempt, reading *runs.Reading) (plain.Answer, *fault.Refusal) {
	release, err := w.Limiter.Acquire(ctx, a.Run.Class, a.Deadline)
	if err != nil {
		return plain.Answer{}, fault.AsRefusal(err)
	}
	defer release()
	w.Registry.Memory.Open(reading)
	if err := reading.Grow(ctx, firstAnswerBytes); err != nil {
		return plain.Answer{}, fault.NotRun(fault.DeadlineExceeded, "no memory for an answer of service %q came free in time", a.Run.Service)
	}
	if !a.Begin() {
		return plain.Answer{}, fault.NotRun(fault.Revoked, "attempt %s was revoked", a.Run.Attempt)
	}
	p := a.Run.Plain
	answer, err := w.Plain.Do(ctx, plain.Call{
		Method: p.Method, Path: p.Path, Query: p.Query, Header: p.Header, Body: a.Body, Memory: reading,
	})
	var notSent *plain.NotSent
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &notSent):
		return answer, fault.NotRun(fault.EngineFailed, "service %q: %v", a.Run.Service, err)
	}
	return answer, fault.Failed(fault.Unsettled, "service %q: %v", a.Run.Service, err)
}

// emitAnswer emits a whole answer in pieces, whose memory passes from the reading to the attempt, and returns the
// attempt's Done message.
func emitAnswer(a *runs.Attempt, answer plain.Answer, startedAt time.Time, reading *runs.Reading) wire.Done {
	wait := time.Since(startedAt)
	head := &wire.PlainHead{Status: answer.Status, Header: answer.Header}
	for data := answer.Body; ; {
		n := min(len(data), wire.MaxPartBytes)
		a.Emit(0, data[:n], head)
		reading.Release(int64(n))
		head, data = nil, data[n:]
		if len(data) == 0 {
			return wire.Done{Wait: wait}
		}
	}
}

// callWithKey runs a call under its idempotency key: it dispatches the call,
// replays the answer of an earlier one, or refuses it.
func (w *Worker) callWithKey(ctx context.Context, a *runs.Attempt, startedAt time.Time) wire.Done {
	log := w.claimLog(a.Run.Plain.Partition)
	if owner := w.partitionOwner(a.Run.Plain.Partition); owner.Endpoint != w.Self.Name {
		return wire.Done{Refusal: fault.NotRun(fault.Deposed, "partition %d of service %q belongs to endpoint %q", a.Run.Plain.Partition, a.Run.Service, owner.Endpoint).WithEndpoint(owner.Endpoint)}
	}
	out, err := log.Claim(ctx, a.Run.Key, callDigest(a))
	if err != nil {
		return wire.Done{Refusal: fault.AsRefusal(err)}
	}
	switch out.State {
	case claim.Mismatch:
		return wire.Done{Refusal: fault.NotRun(fault.KeyReused, "idempotency key %q was used for a different call", wire.CallerKey(a.Run.Key))}
	case claim.Completed:
		d := emitAnswer(a, out.Answer.(plain.Answer), startedAt, &runs.Reading{})
		d.Replayed = true
		return d
	case claim.Dispatchable:
		return w.dispatchClaimed(ctx, a, log, startedAt)
	}
	return wire.Done{Refusal: fault.Failed(fault.Unsettled, "an earlier call with idempotency key %q has an unknown outcome", wire.CallerKey(a.Run.Key))}
}

// dispatchClaimed makes the call of a newly claimed key and records its outcome in the claim log.
func (w *Worker) dispatchClaimed(ctx context.Context, a *runs.Attempt, log *claim.Log, startedAt time.Time) wire.Done {
	var reading runs.Reading
	defer reading.Close()
	answer, refusal := w.dispatch(ctx, a, &reading)
	switch {
	case refusal == nil:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.Completed, Answer: answer})
		return emitAnswer(a, answer, startedAt, &reading)
	case refusal.NotRun:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.Dispatchable})
	default:
		log.Settle(a.Run.Key, claim.Outcome{State: claim.Unknown})
	}
	return wire.Done{Refusal: refusal}
}

// partitionOwner returns the slot that owns a claim partition; zero if the plan has no such partition.
func (w *Worker) partitionOwner(partition int) plan.Slot {
	owners := w.Holder.View().Plan(plan.ClaimKey(w.Self.Service)).Slots
	if partition >= len(owners) {
		return plan.Slot{}
	}
	return owners[partition]
}

// claimLog returns the claim log of a partition, creating it if needed.
func (w *Worker) claimLog(partition int) *claim.Log {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.claimLogs[partition]; l != nil {
		return l
	}
	var retention time.Duration
	if res, ok := w.Holder.View().Service(w.Self.Service); ok {
		retention = res.Service.ClaimRetention.Std()
	}
	l, stop := claim.NewLog(w.Store, w.Self.Service, partition, w.Self.Name, w.Incarnation, retention)
	if w.claimLogs == nil {
		w.claimLogs = map[int]*claim.Log{}
	}
	w.claimLogs[partition] = l
	w.stopFuncs = append(w.stopFuncs, stop)
	return l
}

// ExpireKeys removes idempotency keys past their retention.
func (w *Worker) ExpireKeys(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.claimLogs {
		l.Expire(now)
	}
}

// callDigest returns a hash of the call, by which the reuse of a key for a different call is detected.
func callDigest(a *runs.Attempt) uint64 {
	d := xxhash.New()
	for _, part := range []string{a.Run.Plain.Method, a.Run.Plain.Path, a.Run.Plain.Query, string(a.Body)} {
		// Writing to a hash never fails.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
