package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"foxtailcroft/internal/core/fault"
)

// KV is one stored key. Revision is the store revision of its last change; Lease is 0 if the key has none.
type KV struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
}

// List holds the keys under a prefix at a revision.
type List struct {
	Revision int64
	KVs      []KV
}

// Compare requires that the last change of a key was at Revision; 0 requires that the key does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put writes a key, attached to a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn applies its puts and deletes at one revision if every comparison holds.
type Txn struct {
	If      []Compare
	Puts    []Put
	Deletes []string
}

// Result reports whether a transaction was applied and at which revision.
type Result struct {
	Succeeded bool
	Revision  int64
	// Current holds the current values of the compared keys if the transaction was not applied.
	Current []KV
}

// Event is a change of one key; a deletion has no value.
type Event struct {
	KV
	Deleted bool
}

// Batch is a set of events; it completes all changes up to Revision.
type Batch struct {
	Revision int64
	Events   []Event
	// SentAt is when the call was sent that this batch answers, as the time since boot; 0 if the
	// client doesn't tell, as where one call is answered with more than one batch.
	SentAt time.Duration
	// Transfer is how long the response took to arrive, from its header to its end; 0 if the client
	// doesn't tell.
	Transfer time.Duration
}

// Store is the key-value service. Calls without a response return *fault.Unavailable,
// with MayHaveApplied set if a write may have been applied.
type Store interface {
	// Range returns the keys with a prefix from a linearizable read.
	Range(ctx context.Context, prefix string) (List, error)
	// Get returns one key from a linearizable read; ok is false if it does not exist.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// Commit runs a transaction.
	Commit(ctx context.Context, t Txn) (Result, error)
	// Grant returns a new lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease; ok is false if the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (ok bool, err error)
	// Watch calls fn with the changes under the prefix after a revision, until fn returns an error or ctx is done.
	Watch(ctx context.Context, prefix string, after int64, fn func(Batch) error) error
}

// Compacted is the error of a watch whose next changes the store has compacted.
type Compacted struct {
	// Revision is the compaction revision or, if the store does not state it, the one that the watch continued after.
	Revision int64
}

// Error returns a message with the revision.
func (c *Compacted) Error() string {
	return fmt.Sprintf("changes up to revision %d are compacted", c.Revision)
}

const (
	// commitRetryInitialInterval and commitRetryMaxInterval bound the backoff between the attempts of CommitOnce.
	commitRetryInitialInterval = 50 * time.Millisecond
	commitRetryMaxInterval     = time.Second
)

// CommitOnce commits a transaction and retries while the outcome is unknown because
// a response was lost. The witness is a key that only this transaction creates;
// finding it proves that an earlier attempt was applied.
func CommitOnce(ctx context.Context, s Store, t Txn, witness string) (Result, error) {
	t.If = append([]Compare{{Key: witness}}, t.If...)
	retryBackOff := backoff.NewExponentialBackOff()
	retryBackOff.InitialInterval = commitRetryInitialInterval
	retryBackOff.MaxInterval = commitRetryMaxInterval
	mayHaveApplied := false
	return backoff.Retry(ctx, func() (Result, error) {
		res, err := s.Commit(ctx, t)
		if err != nil {
			var unavailable *fault.Unavailable
			if !fault.As(err, &unavailable) || !unavailable.MayHaveApplied {
				if mayHaveApplied {
					return Result{}, err
				}
				return Result{}, backoff.Permanent(err)
			}
			mayHaveApplied = true
			return Result{}, err
		}
		for _, kv := range res.Current {
			if kv.Key == witness {
				return Result{Succeeded: true, Revision: kv.Revision}, nil
			}
		}
		return res, nil
	}, backoff.WithBackOff(retryBackOff), backoff.WithMaxElapsedTime(0))
}
