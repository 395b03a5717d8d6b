package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"foxtailcroft/internal/core/fault"
)

// KV is one stored key; Revision is the store revision of its last change.
type KV struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
}

// List is what the store held under a prefix at a revision.
type List struct {
	Revision int64
	KVs      []KV
}

// Compare demands that a key was last changed at a revision; 0 demands that it does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put writes a key, bound to a lease unless Lease is 0.
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

// Result tells whether a transaction applied and at which revision.
type Result struct {
	Succeeded bool
	Revision  int64
	// Found holds the compared keys as they stood if the transaction did not apply.
	Found []KV
}

// Event is a change of one key; a deletion has no value.
type Event struct {
	KV
	Deleted bool
}

// Batch is a set of events; the watch has seen all changes up to Revision.
type Batch struct {
	Revision int64
	Events   []Event
}

// Store is the key-value service as the system uses it. Calls that get no
// answer return *fault.Away, with Unsettled set where a write may have applied.
type Store interface {
	// Range returns the keys with a prefix, linearizably.
	Range(ctx context.Context, prefix string) (List, error)
	// Get returns one key, linearizably; ok is false if it does not exist.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// Commit runs a transaction.
	Commit(ctx context.Context, t Txn) (Result, error)
	// Grant returns a new lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease; ok is false if the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (ok bool, err error)
	// Watch calls fn for changes under the prefix after a revision, until fn or the context ends it.
	Watch(ctx context.Context, prefix string, after int64, fn func(Batch) error) error
}

// Compacted reports a watch from a revision whose following changes the store no longer has.
type Compacted struct {
	Revision int64
}

// Error names the revision.
func (c *Compacted) Error() string {
	return fmt.Sprintf("changes up to revision %d are compacted", c.Revision)
}

const (
	settleFirstPause = 50 * time.Millisecond
	settleMaxPause   = time.Second
)

// Settle commits a transaction and finds out what became of it when its answer
// is lost. The witness is a key that only this transaction creates; finding it
// proves that the transaction applied.
func Settle(ctx context.Context, s Store, t Txn, witness string) (Result, error) {
	t.If = append([]Compare{{Key: witness}}, t.If...)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = settleFirstPause
	pause.MaxInterval = settleMaxPause
	unsettled := false
	return backoff.Retry(ctx, func() (Result, error) {
		res, err := s.Commit(ctx, t)
		if err != nil {
			var away *fault.Away
			if !fault.As(err, &away) || !away.Unsettled {
				if unsettled {
					return Result{}, err
				}
				return Result{}, backoff.Permanent(err)
			}
			unsettled = true
			return Result{}, err
		}
		for _, kv := range res.Found {
			if kv.Key == witness {
				return Result{Succeeded: true, Revision: kv.Revision}, nil
			}
		}
		return res, nil
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
}
