package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/base/tasks"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// State is the state of an idempotency key as its partition's owner knows it.
type State int

// The states of a key.
const (
	// Dispatchable means that the caller of Claim may dispatch the call, once.
	Dispatchable State = iota
	// InFlight means that this owner is dispatching an earlier call with the key.
	InFlight
	// Completed means that the call has an answer.
	Completed
	// Unknown means that the key was claimed by a previous owner or that its call's outcome is not known.
	Unknown
	// Mismatch means that the key was claimed for a different call.
	Mismatch
)

// Outcome is the state of a key and, if Completed, the answer of its call.
type Outcome struct {
	State  State
	Answer any
}

// keyRecord is what the owner remembers of one key.
type keyRecord struct {
	digest uint64
	state  State
	answer any
	// settled is closed when the call in flight has an outcome or its claim has failed.
	settled chan struct{}
	expires time.Time
}

// pendingClaim is a claim that waits for its batch to be written.
type pendingClaim struct {
	keyClaim
	result chan error
}

// Log is the claim log of one partition, kept by the agent that the plan assigns as its owner.
type Log struct {
	service   string
	partition int
	self      ownerRecord
	store     store.Store
	retention time.Duration
	group     tasks.Group
	ctx       context.Context

	mu sync.Mutex
	// records holds the known keys.
	records map[string]*keyRecord
	// ownerRevision is the owner key's revision since this log's takeover.
	ownerRevision int64
	// nextSequence is the sequence number of the next batch.
	nextSequence int64
	// leaseID is the store lease for new batches, 0 before the first; it is
	// replaced by a new one after leaseRenewAt.
	leaseID      int64
	leaseRenewAt time.Time
	// owned is true from a takeover until a write shows another owner.
	owned bool
	// takeoverDone is closed when the running takeover ends; nil if none is running.
	takeoverDone  chan struct{}
	pending       []*pendingClaim
	writerRunning bool
	// unconfirmed is a batch whose write got no answer; it is resolved before the next write.
	unconfirmed *unconfirmedBatch
}

// DefaultRetention is how long keys are remembered if the service declares no retention.
const DefaultRetention = 24 * time.Hour

// NewLog returns the log of a partition, which the first Claim takes over, and
// the function that stops its work.
func NewLog(s store.Store, service string, partition int, endpoint string, incarnation int64, retention time.Duration) (*Log, func()) {
	if retention == 0 {
		retention = DefaultRetention
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		service: service, partition: partition, store: s, retention: retention, ctx: ctx,
		self:    ownerRecord{Endpoint: endpoint, Incarnation: incarnation, Nonce: uuid.NewString()},
		records: map[string]*keyRecord{},
	}
	return l, func() {
		cancel()
		l.group.Close()
	}
}

// Claim claims the key for one call. Only a caller that gets Dispatchable may
// dispatch the call, and it must call Settle afterwards. An error is the
// refusal of a call that was not dispatched.
func (l *Log) Claim(ctx context.Context, key string, digest uint64) (Outcome, error) {
	if err := l.ensureOwned(ctx); err != nil {
		return Outcome{}, err
	}
	l.mu.Lock()
	if r := l.records[key]; r != nil {
		out, done := l.existingOutcome(r, digest)
		l.mu.Unlock()
		if out.State != InFlight {
			return out, nil
		}
		return l.awaitOutcome(ctx, r, done)
	}
	r := &keyRecord{digest: digest, state: InFlight, settled: make(chan struct{}), expires: time.Now().Add(l.retention)}
	l.records[key] = r
	p := &pendingClaim{keyClaim{key, digest}, make(chan error, 1)}
	l.pending = append(l.pending, p)
	l.startWriter()
	l.mu.Unlock()
	select {
	case err := <-p.result:
		if err != nil {
			l.failClaim(key, r)
			return Outcome{}, err
		}
		return Outcome{State: Dispatchable}, nil
	case <-ctx.Done():
		l.group.Go(func() { l.abandon(p, r) })
		return Outcome{}, fault.NotRun(fault.StoreAway, "the claim of the idempotency key was not confirmed in time")
	}
}

// abandon waits for the batch of a call whose context ended. If the claim was
// written, its call never ran, so the next call with the key may run.
func (l *Log) abandon(p *pendingClaim, r *keyRecord) {
	err := <-p.result
	l.mu.Lock()
	defer l.mu.Unlock()
	close(r.settled)
	if err != nil {
		l.removeRecord(p.Key, r)
		return
	}
	r.state, r.settled = Dispatchable, make(chan struct{})
}

// existingOutcome returns the outcome of an existing record for a call with
// the digest, and the channel to wait on if it is InFlight.
func (l *Log) existingOutcome(r *keyRecord, digest uint64) (Outcome, chan struct{}) {
	switch {
	case r.digest != digest:
		return Outcome{State: Mismatch}, nil
	case r.state == Dispatchable:
		r.state = InFlight
		return Outcome{State: Dispatchable}, nil
	}
	return Outcome{State: r.state, Answer: r.answer}, r.settled
}

// awaitOutcome waits for the outcome of the call in flight under the same key.
func (l *Log) awaitOutcome(ctx context.Context, r *keyRecord, done chan struct{}) (Outcome, error) {
	select {
	case <-done:
	case <-ctx.Done():
		return Outcome{State: Unknown}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.state == Dispatchable || r.state == InFlight {
		return Outcome{}, fault.NotRun(fault.StoreAway, "an earlier call with the idempotency key was given up before it ran")
	}
	return Outcome{State: r.state, Answer: r.answer}, nil
}

// failClaim removes the record of a key whose claim was not written.
func (l *Log) failClaim(key string, r *keyRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeRecord(key, r)
	close(r.settled)
}

// removeRecord removes the record unless its key has a newer one. The caller holds the lock.
func (l *Log) removeRecord(key string, r *keyRecord) {
	if l.records[key] == r {
		delete(l.records, key)
	}
}

// Settle records the outcome of a dispatched call. The state Dispatchable means
// that the call certainly did not run, so the next call with the key may run.
func (l *Log) Settle(key string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[key]
	if r == nil || r.state != InFlight {
		return
	}
	r.state, r.answer = o.State, o.Answer
	close(r.settled)
	if o.State == Dispatchable {
		r.settled = make(chan struct{})
	}
}

// Expire removes the records that are older than the retention, except those in flight.
func (l *Log) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.records {
		if now.After(r.expires) && r.state != InFlight {
			delete(l.records, key)
		}
	}
}

// loseOwnership marks the partition as not owned and forgets all records, so that
// the next call takes it over again. It returns the refusal for the calls of the
// failed batch. The caller holds the lock.
func (l *Log) loseOwnership() error {
	l.owned = false
	l.records = map[string]*keyRecord{}
	return fault.NotRun(fault.Deposed, "partition %d of service %q has another owner", l.partition, l.service)
}

// decodeBatch decodes a stored batch; an unreadable one is empty.
func decodeBatch(value []byte) batch {
	var b batch
	// An unreadable batch has no claims or nonce to compare with.
	_ = json.Unmarshal(value, &b)
	return b
}
