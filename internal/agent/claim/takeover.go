package claim

import (
	"context"
	"encoding/json"
	"time"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// ensureOwned takes the partition over unless this log owns it: it rewrites the
// owner key, after which no previous owner can append, and replays the log. The
// error is a StoreAway *fault.Refusal if the takeover fails or ctx ends first.
func (l *Log) ensureOwned(ctx context.Context) error {
	for {
		l.mu.Lock()
		if l.owned {
			l.mu.Unlock()
			return nil
		}
		if l.takeoverDone == nil {
			l.takeoverDone = make(chan struct{})
			l.group.Go(l.takeOver)
		}
		done := l.takeoverDone
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return fault.NotRun(fault.StoreAway, "partition %d of service %q is not taken over yet", l.partition, l.service)
		}
		l.mu.Lock()
		owned := l.owned
		l.mu.Unlock()
		if !owned {
			return fault.NotRun(fault.StoreAway, "partition %d of service %q could not be taken over", l.partition, l.service).WithRetryAfter(time.Second)
		}
	}
}

// takeOver tries once to take the partition over.
func (l *Log) takeOver() {
	ctx, cancel := context.WithTimeout(l.ctx, operationTimeout)
	defer cancel()
	revision, err := l.writeOwner(ctx)
	var list store.List
	if err == nil {
		list, err = l.store.Range(ctx, batchPrefix(l.service, l.partition))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.takeoverDone)
	l.takeoverDone = nil
	if err != nil {
		return
	}
	l.ownerRevision, l.owned, l.unconfirmed = revision, true, nil
	l.replay(list)
}

// replay adds every key of the log as Unknown, except keys of which this owner
// already has a record. The caller holds the lock.
func (l *Log) replay(list store.List) {
	for _, kv := range list.KVs {
		l.nextSequence = max(l.nextSequence, sequenceFromKey(kv.Key)+1)
		for _, c := range decodeBatch(kv.Value).Claims {
			if l.records[c.Key] != nil {
				continue
			}
			done := make(chan struct{})
			close(done)
			l.records[c.Key] = &keyRecord{digest: c.Digest, state: Unknown, settled: done, expires: time.Now().Add(l.retention)}
		}
	}
}

// writeOwner rewrites the owner key and returns its revision. If an answer was
// lost, the nonce that is read back shows whether the write was applied.
func (l *Log) writeOwner(ctx context.Context) (int64, error) {
	key := ownerKey(l.service, l.partition)
	value, err := json.Marshal(l.self)
	if err != nil {
		return 0, err
	}
	for {
		revision, done, err := l.tryWriteOwner(ctx, key, value)
		if done {
			return revision, nil
		}
		if !sleep.For(ctx, retryPause) {
			if err == nil {
				err = ctx.Err()
			}
			return 0, err
		}
	}
}

// tryWriteOwner makes one try of writeOwner and reports whether the owner key holds this log's value.
func (l *Log) tryWriteOwner(ctx context.Context, key string, value []byte) (int64, bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, _, err := l.store.Get(callCtx, key)
	if err != nil {
		return 0, false, err
	}
	var current ownerRecord
	if len(kv.Value) > 0 && json.Unmarshal(kv.Value, &current) == nil && current.Nonce == l.self.Nonce {
		return kv.Revision, true, nil
	}
	res, err := l.store.Commit(callCtx, store.Txn{If: []store.Compare{{Key: key, Revision: kv.Revision}}, Puts: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		return 0, false, err
	}
	return res.Revision, res.Succeeded, nil
}
