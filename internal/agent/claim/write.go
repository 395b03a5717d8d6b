package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

const (
	// writeTimeout bounds one try of a store call.
	writeTimeout = 2 * time.Second
	// writePause separates tries while the store is away.
	writePause = 200 * time.Millisecond
	// giveUpAfter is how long a batch is tried before its calls are refused.
	giveUpAfter = 5 * time.Second
	// maxBatch bounds the claims of one append.
	maxBatch = 512
)

// doubtful is a batch whose write may or may not have applied.
type doubtful struct {
	key   string
	batch batch
}

// write starts the writer unless it runs. Called with the lock held.
func (l *Log) write() {
	if l.writing || len(l.waiting) == 0 {
		return
	}
	l.writing = true
	l.group.Go(l.writer)
}

// writer appends batches until nothing waits: while one batch is being written, the next one gathers.
func (l *Log) writer() {
	for {
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.writing = false
			l.mu.Unlock()
			return
		}
		n := min(len(l.waiting), maxBatch)
		group := l.waiting[:n]
		l.waiting = l.waiting[n:]
		l.mu.Unlock()
		err := l.append(group)
		for _, p := range group {
			p.result <- err
		}
	}
}

// append writes one batch under the owner's revision.
func (l *Log) append(group []*pendingClaim) error {
	ctx, cancel := context.WithTimeout(l.ctx, giveUpAfter)
	defer cancel()
	b := batch{Nonce: uuid.NewString()}
	for _, p := range group {
		b.Claims = append(b.Claims, p.claimed)
	}
	if err := l.settleDoubt(ctx); err != nil {
		return err
	}
	lease, err := l.currentLease(ctx)
	if err != nil {
		return fault.NotRun(fault.StoreAway, "no lease for the claim log: %v", err)
	}
	l.mu.Lock()
	key, revision := batchKey(l.service, l.partition, l.next), l.revision
	l.mu.Unlock()
	return l.commit(ctx, key, revision, lease, b)
}

// commit repeats a batch's transaction until it is known to have applied or to have been refused.
func (l *Log) commit(ctx context.Context, key string, revision, lease int64, b batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return fault.NotRun(fault.BadRequest, "claim batch: %v", err)
	}
	t := store.Txn{
		If:   []store.Compare{{Key: ownerKey(l.service, l.partition), Revision: revision}, {Key: key}},
		Puts: []store.Put{{Key: key, Value: value, Lease: lease}},
	}
	for {
		once, cancel := context.WithTimeout(ctx, writeTimeout)
		res, err := l.store.Commit(once, t)
		cancel()
		switch {
		case err == nil && res.Succeeded:
			return l.advance()
		case err == nil:
			return l.refused(res, key, b.Nonce)
		}
		if !pause.For(ctx, writePause) {
			l.mu.Lock()
			l.doubt = &doubtful{key, b}
			l.mu.Unlock()
			return fault.NotRun(fault.StoreAway, "the claim log was not written: %v", err)
		}
	}
}

func (l *Log) advance() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return nil
}

// refused tells an own batch whose answer was lost from one refused because the owner changed.
func (l *Log) refused(res store.Result, key, nonce string) error {
	for _, kv := range res.Found {
		if kv.Key == key && decodeBatch(kv.Value).Nonce == nonce {
			return l.advance()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deposed()
}

// settleDoubt finds out whether the batch that was given up was written. Its
// calls were refused as not run; a key that was written all the same stays
// open for its next call.
func (l *Log) settleDoubt(ctx context.Context) error {
	l.mu.Lock()
	d := l.doubt
	l.mu.Unlock()
	if d == nil {
		return nil
	}
	once, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	kv, found, err := l.store.Get(once, d.key)
	if err != nil {
		return fault.NotRun(fault.StoreAway, "the claim log cannot be read: %v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubt = nil
	if !found {
		return nil
	}
	if decodeBatch(kv.Value).Nonce != d.batch.Nonce {
		return l.deposed()
	}
	l.next++
	return nil
}

// currentLease returns the lease of new batches; it is renewed by a new lease
// every quarter of the retention, so that each batch outlives its keys.
func (l *Log) currentLease(ctx context.Context) (int64, error) {
	l.mu.Lock()
	lease, end := l.lease, l.leaseEnd
	l.mu.Unlock()
	if lease != 0 && time.Now().Before(end) {
		return lease, nil
	}
	once, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, err := l.store.Grant(once, l.retention+l.retention/4+time.Minute)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.leaseEnd = lease, time.Now().Add(l.retention/4)
	return lease, nil
}
