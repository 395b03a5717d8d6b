package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"foxtailcroft/internal/core/audit"
	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/plat/store"
)

const (
	// Retention is how long the store keeps audit records; the log keeps them all.
	Retention = 7 * 24 * time.Hour
	// leaseReusePeriod is how long new records share one lease; its TTL adds Retention, so that each record lives at least that long.
	leaseReusePeriod = 6 * time.Hour
)

// Change is a write or deletion of one configuration key.
type Change struct {
	// Key is the key without the store's prefix.
	Key string
	// Before and After are the old and the new value; a nil After deletes the key.
	Before []byte
	After  []byte
	// From is the expected revision of the key; 0 if the key must not exist.
	From   int64
	Actor  string
	Action string
}

// Ledger writes changes and manages the lease of their audit records.
type Ledger struct {
	store store.Store
	// onAccepted is called with the record of each accepted change.
	onAccepted    func(audit.Record)
	mu            sync.Mutex
	lease         int64
	leaseReuseEnd time.Time
}

// New returns a ledger; onAccepted is called with the record of each accepted change.
func New(s store.Store, onAccepted func(audit.Record)) *Ledger {
	return &Ledger{store: s, onAccepted: onAccepted}
}

// Write commits a change and returns its revision; if the key is not at Change.From, the error is a *fault.RevisionConflict.
func (l *Ledger) Write(ctx context.Context, c Change) (int64, error) {
	lease, err := l.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now().UTC()
	record := audit.Record{Time: now, Actor: c.Actor, Action: c.Action, Key: c.Key, From: c.From, Changes: audit.Diff(c.Before, c.After).WithoutKeys()}
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	witness := fmt.Sprintf("%s%020d-%s", store.AuditPrefix, now.UnixNano(), uuid.NewString())
	t := store.Txn{
		If:   []store.Compare{{Key: store.StatePrefix + c.Key, Revision: c.From}},
		Puts: []store.Put{{Key: witness, Value: value, Lease: lease}},
	}
	if c.After == nil {
		t.Deletes = []string{store.StatePrefix + c.Key}
	} else {
		t.Puts = append(t.Puts, store.Put{Key: store.StatePrefix + c.Key, Value: c.After})
	}
	res, err := store.CommitOnce(ctx, l.store, t, witness)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, conflictError(c, res)
	}
	record.To = res.Revision
	l.onAccepted(record)
	return res.Revision, nil
}

func conflictError(c Change, res store.Result) error {
	out := &fault.RevisionConflict{Key: c.Key, Expected: c.From}
	for _, kv := range res.Current {
		if kv.Key == store.StatePrefix+c.Key {
			out.Actual = kv.Revision
		}
	}
	return out
}

// currentLease returns the lease for new audit records, granting a new one after leaseReusePeriod.
func (l *Ledger) currentLease(ctx context.Context) (int64, error) {
	l.mu.Lock()
	lease, end := l.lease, l.leaseReuseEnd
	l.mu.Unlock()
	if lease != 0 && time.Now().Before(end) {
		return lease, nil
	}
	lease, err := l.store.Grant(ctx, Retention+leaseReusePeriod)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.leaseReuseEnd = lease, time.Now().Add(leaseReusePeriod)
	return lease, nil
}

// Filter selects audit records; a zero field matches all.
type Filter struct {
	// Since is the earliest time of a record.
	Since time.Time
	// Prefix is a prefix of the key, such as "Model/".
	Prefix string
}

// Records returns the audit records that have not expired, oldest first; it skips records that are not valid JSON.
func (l *Ledger) Records(ctx context.Context, f Filter) ([]audit.Record, error) {
	list, err := l.store.Range(ctx, store.AuditPrefix)
	if err != nil {
		return nil, err
	}
	var out []audit.Record
	for _, kv := range list.KVs {
		var r audit.Record
		if json.Unmarshal(kv.Value, &r) != nil {
			continue
		}
		r.To = kv.Revision
		if r.Time.Before(f.Since) || len(r.Key) < len(f.Prefix) || r.Key[:len(f.Prefix)] != f.Prefix {
			continue
		}
		out = append(out, r)
	}
	return out, nil
}
