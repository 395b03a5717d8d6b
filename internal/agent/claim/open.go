package claim

import (
	"context"
	"encoding/json"
	"time"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

// open takes the partition over if that is not done: it rewrites the owner key,
// after which no earlier owner can append, and replays the log.
func (l *Log) open(ctx context.Context) error {
	for {
		l.mu.Lock()
		if l.ready {
			l.mu.Unlock()
			return nil
		}
		if l.opening == nil {
			l.opening = make(chan struct{})
			l.group.Go(l.takeOver)
		}
		opening := l.opening
		l.mu.Unlock()
		select {
		case <-opening:
		case <-ctx.Done():
			return fault.NotRun(fault.StoreAway, "partition %d of service %q is not taken over yet", l.partition, l.service)
		}
		l.mu.Lock()
		ready := l.ready
		l.mu.Unlock()
		if !ready {
			return fault.NotRun(fault.StoreAway, "partition %d of service %q could not be taken over", l.partition, l.service).WithRetryAfter(time.Second)
		}
	}
}

func (l *Log) takeOver() {
	ctx, cancel := context.WithTimeout(l.ctx, giveUpAfter)
	defer cancel()
	revision, err := l.writeOwner(ctx)
	var list store.List
	if err == nil {
		list, err = l.store.Range(ctx, batchPrefix(l.service, l.partition))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.opening)
	l.opening = nil
	if err != nil {
		return
	}
	l.revision, l.ready, l.doubt = revision, true, nil
	l.replay(list)
}

// replay marks every key of the log as claimed by a lost owner, unless this owner knows better.
func (l *Log) replay(list store.List) {
	for _, kv := range list.KVs {
		l.next = max(l.next, sequenceOf(kv.Key)+1)
		for _, c := range decodeBatch(kv.Value).Claims {
			if l.records[c.Key] != nil {
				continue
			}
			done := make(chan struct{})
			close(done)
			l.records[c.Key] = &record{digest: c.Digest, state: Unknown, done: done, expires: time.Now().Add(l.retention)}
		}
	}
}

// writeOwner rewrites the owner key and returns its revision; a lost answer is settled by the nonce that is read back.
func (l *Log) writeOwner(ctx context.Context) (int64, error) {
	key := ownerKey(l.service, l.partition)
	value, err := json.Marshal(l.self)
	if err != nil {
		return 0, err
	}
	for {
		revision, done, err := l.writeOwnerOnce(ctx, key, value)
		if done {
			return revision, nil
		}
		if !pause.For(ctx, writePause) {
			if err == nil {
				err = ctx.Err()
			}
			return 0, err
		}
	}
}

func (l *Log) writeOwnerOnce(ctx context.Context, key string, value []byte) (int64, bool, error) {
	once, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	kv, _, err := l.store.Get(once, key)
	if err != nil {
		return 0, false, err
	}
	var current owner
	if len(kv.Value) > 0 && json.Unmarshal(kv.Value, &current) == nil && current.Nonce == l.self.Nonce {
		return kv.Revision, true, nil
	}
	res, err := l.store.Commit(once, store.Txn{If: []store.Compare{{Key: key, Revision: kv.Revision}}, Puts: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		return 0, false, err
	}
	return res.Revision, res.Succeeded, nil
}
