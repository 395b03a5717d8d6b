package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

const (
	// storeCallTimeout bounds one try of a store call.
	storeCallTimeout = 2 * time.Second
	// retryPause is the pause between tries while the store is unavailable.
	retryPause = 200 * time.Millisecond
	// operationTimeout bounds one batch write with its retries, after which its
	// calls are refused, and one takeover.
	operationTimeout = 5 * time.Second
	// maxBatchClaims bounds the claims of one batch.
	maxBatchClaims = 512
)

// unconfirmedBatch is a batch whose write may or may not have been applied.
type unconfirmedBatch struct {
	key   string
	batch batch
}

// startWriter starts the writer unless it runs or nothing is pending. The caller holds the lock.
func (l *Log) startWriter() {
	if l.writerRunning || len(l.pending) == 0 {
		return
	}
	l.writerRunning = true
	l.group.Go(l.runWriter)
}

// runWriter appends batches until no claim is pending. Claims that arrive while
// one batch is being written go into the next.
func (l *Log) runWriter() {
	for {
		l.mu.Lock()
		if len(l.pending) == 0 {
			l.writerRunning = false
			l.mu.Unlock()
			return
		}
		n := min(len(l.pending), maxBatchClaims)
		claims := l.pending[:n]
		l.pending = l.pending[n:]
		l.mu.Unlock()
		err := l.appendBatch(claims)
		for _, p := range claims {
			p.result <- err
		}
	}
}

// appendBatch writes one batch on the condition that the owner key has not changed.
func (l *Log) appendBatch(claims []*pendingClaim) error {
	ctx, cancel := context.WithTimeout(l.ctx, operationTimeout)
	defer cancel()
	b := batch{Nonce: uuid.NewString()}
	for _, p := range claims {
		b.Claims = append(b.Claims, p.keyClaim)
	}
	if err := l.resolveUnconfirmed(ctx); err != nil {
		return err
	}
	lease, err := l.currentLease(ctx)
	if err != nil {
		return fault.NotRun(fault.StoreAway, "no lease for the claim log: %v", err)
	}
	l.mu.Lock()
	key, revision := batchKey(l.service, l.partition, l.nextSequence), l.ownerRevision
	l.mu.Unlock()
	return l.commitBatch(ctx, key, revision, lease, b)
}

// commitBatch retries a batch's transaction until the store confirms or refuses
// it. At the timeout it keeps the batch as unconfirmed.
func (l *Log) commitBatch(ctx context.Context, key string, revision, lease int64, b batch) error {
	value, err := json.Marshal(b)
	if err != nil {
		return fault.NotRun(fault.BadRequest, "claim batch: %v", err)
	}
	txn := store.Txn{
		If:   []store.Compare{{Key: ownerKey(l.service, l.partition), Revision: revision}, {Key: key}},
		Puts: []store.Put{{Key: key, Value: value, Lease: lease}},
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		res, err := l.store.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil && res.Succeeded:
			return l.advanceSequence()
		case err == nil:
			return l.resolveRefused(res, key, b.Nonce)
		}
		if !sleep.For(ctx, retryPause) {
			l.mu.Lock()
			l.unconfirmed = &unconfirmedBatch{key, b}
			l.mu.Unlock()
			return fault.NotRun(fault.StoreAway, "the claim log was not written: %v", err)
		}
	}
}

// advanceSequence moves on to the sequence number of the next batch.
func (l *Log) advanceSequence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextSequence++
	return nil
}

// resolveRefused handles a refused transaction: either an earlier try had been
// applied and its answer was lost, or the partition has another owner.
func (l *Log) resolveRefused(res store.Result, key, nonce string) error {
	for _, kv := range res.Current {
		if kv.Key == key && decodeBatch(kv.Value).Nonce == nonce {
			return l.advanceSequence()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loseOwnership()
}

// resolveUnconfirmed finds out whether the unconfirmed batch was written. Its
// calls were refused as not run, so a key that was written nonetheless may still
// be claimed by its next call.
func (l *Log) resolveUnconfirmed(ctx context.Context) error {
	l.mu.Lock()
	previous := l.unconfirmed
	l.mu.Unlock()
	if previous == nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, found, err := l.store.Get(callCtx, previous.key)
	if err != nil {
		return fault.NotRun(fault.StoreAway, "the claim log cannot be read: %v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unconfirmed = nil
	if !found {
		return nil
	}
	if decodeBatch(kv.Value).Nonce != previous.batch.Nonce {
		return l.loseOwnership()
	}
	l.nextSequence++
	return nil
}

// currentLease returns the store lease for new batches. A new one is granted
// every quarter of the retention, so that each batch outlives the retention of its keys.
func (l *Log) currentLease(ctx context.Context) (int64, error) {
	l.mu.Lock()
	lease, renewAt := l.leaseID, l.leaseRenewAt
	l.mu.Unlock()
	if lease != 0 && time.Now().Before(renewAt) {
		return lease, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := l.store.Grant(callCtx, l.retention+l.retention/4+time.Minute)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseID, l.leaseRenewAt = lease, time.Now().Add(l.retention/4)
	return lease, nil
}
