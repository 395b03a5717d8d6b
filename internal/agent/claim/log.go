package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/base/crew"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// State is what a partition's owner knows of a key.
type State int

// The states of a key.
const (
	// New keys may be dispatched by the caller of Claim, once.
	New State = iota
	// Busy keys are being dispatched by an earlier call on this owner.
	Busy
	// Done keys have an answer.
	Done
	// Unknown keys were claimed by a lost owner, or their call's outcome is not known.
	Unknown
	// Other keys were claimed for a different call.
	Other
)

// Outcome is what became of a key's call.
type Outcome struct {
	State  State
	Answer any
}

type record struct {
	digest  uint64
	state   State
	answer  any
	done    chan struct{}
	expires time.Time
}

// pendingClaim is a key that waits for its batch to be written.
type pendingClaim struct {
	claimed
	result chan error
}

// Log is the claim log of one partition, on the agent that the plan gives it to.
type Log struct {
	service   string
	partition int
	self      owner
	store     store.Store
	retention time.Duration
	group     crew.Group
	ctx       context.Context

	mu       sync.Mutex
	records  map[string]*record
	revision int64
	next     int64
	lease    int64
	leaseEnd time.Time
	ready    bool
	opening  chan struct{}
	waiting  []*pendingClaim
	writing  bool
	// doubt is a batch whose write has no answer; it is settled before the next.
	doubt *doubtful
}

// DefaultRetention is how long keys are remembered where the service does not say.
const DefaultRetention = 24 * time.Hour

// NewLog returns a partition's log that is not yet taken over, and the function that stops its work.
func NewLog(s store.Store, service string, partition int, endpoint string, incarnation int64, retention time.Duration) (*Log, func()) {
	if retention == 0 {
		retention = DefaultRetention
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		service: service, partition: partition, store: s, retention: retention, ctx: ctx,
		self:    owner{Endpoint: endpoint, Incarnation: incarnation, Nonce: uuid.NewString()},
		records: map[string]*record{},
	}
	return l, func() {
		cancel()
		l.group.Close()
	}
}

// Claim makes sure that the key is this call's alone. Only a caller that gets
// New may dispatch, and it must call Settle after. A refusal means that the
// call was not dispatched.
func (l *Log) Claim(ctx context.Context, key string, digest uint64) (Outcome, error) {
	if err := l.open(ctx); err != nil {
		return Outcome{}, err
	}
	l.mu.Lock()
	if r := l.records[key]; r != nil {
		out, done := l.known(r, digest)
		l.mu.Unlock()
		if out.State != Busy {
			return out, nil
		}
		return l.await(ctx, r, done)
	}
	r := &record{digest: digest, state: Busy, done: make(chan struct{}), expires: time.Now().Add(l.retention)}
	l.records[key] = r
	p := &pendingClaim{claimed{key, digest}, make(chan error, 1)}
	l.waiting = append(l.waiting, p)
	l.write()
	l.mu.Unlock()
	select {
	case err := <-p.result:
		if err != nil {
			l.forget(key, r)
			return Outcome{}, err
		}
		return Outcome{State: New}, nil
	case <-ctx.Done():
		l.group.Go(func() { l.abandon(p, r) })
		return Outcome{}, fault.NotRun(fault.StoreAway, "the claim of the idempotency key was not confirmed in time")
	}
}

// abandon waits for the batch of a call that gave up. A claim that was written
// for it stands for a call that never ran, so the next call with the key may.
func (l *Log) abandon(p *pendingClaim, r *record) {
	err := <-p.result
	l.mu.Lock()
	defer l.mu.Unlock()
	close(r.done)
	if err != nil {
		l.drop(p.Key, r)
		return
	}
	r.state, r.done = New, make(chan struct{})
}

// known returns what a record says to a call with a digest.
func (l *Log) known(r *record, digest uint64) (Outcome, chan struct{}) {
	switch {
	case r.digest != digest:
		return Outcome{State: Other}, nil
	case r.state == New:
		r.state = Busy
		return Outcome{State: New}, nil
	}
	return Outcome{State: r.state, Answer: r.answer}, r.done
}

// await waits for the call that is being dispatched under the same key.
func (l *Log) await(ctx context.Context, r *record, done chan struct{}) (Outcome, error) {
	select {
	case <-done:
	case <-ctx.Done():
		return Outcome{State: Unknown}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.state == New || r.state == Busy {
		return Outcome{}, fault.NotRun(fault.StoreAway, "an earlier call with the idempotency key was given up before it ran")
	}
	return Outcome{State: r.state, Answer: r.answer}, nil
}

// forget drops the record of a key that was not claimed.
func (l *Log) forget(key string, r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(key, r)
	close(r.done)
}

// drop removes a record unless a newer one stands for its key.
func (l *Log) drop(key string, r *record) {
	if l.records[key] == r {
		delete(l.records, key)
	}
}

// Settle records what became of a dispatched call. With state New the call was
// proven not to have run, and the next call with the key may.
func (l *Log) Settle(key string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[key]
	if r == nil || r.state != Busy {
		return
	}
	r.state, r.answer = o.State, o.Answer
	close(r.done)
	if o.State == New {
		r.done = make(chan struct{})
	}
}

// Expire drops the records that are older than the retention.
func (l *Log) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.records {
		if now.After(r.expires) && r.state != Busy {
			delete(l.records, key)
		}
	}
}

// deposed refuses what waits and makes the next call take over again.
func (l *Log) deposed() error {
	l.ready = false
	l.records = map[string]*record{}
	return fault.NotRun(fault.Deposed, "partition %d of service %q has another owner", l.partition, l.service)
}

func decodeBatch(value []byte) batch {
	var b batch
	// An unreadable batch claims nothing that could be compared.
	_ = json.Unmarshal(value, &b)
	return b
}
