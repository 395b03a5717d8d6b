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
	// leaseFor is how long one lease takes new records; each record lives at least Retention.
	leaseFor = 6 * time.Hour
)

// Change is one write of a configuration key.
type Change struct {
	// Key is the key without the store's prefix.
	Key string
	// Before and After are the values; a nil After deletes the key.
	Before []byte
	After  []byte
	// From is the revision that the key must be at; 0 for a key that must not exist.
	From   int64
	Actor  string
	Action string
}

// Ledger writes changes and keeps the lease of their audit records.
type Ledger struct {
	store store.Store
	// Note is told of each accepted change.
	note     func(audit.Record)
	mu       sync.Mutex
	lease    int64
	leaseEnd time.Time
}

// New returns a ledger; note is called with the record of each accepted change.
func New(s store.Store, note func(audit.Record)) *Ledger {
	return &Ledger{store: s, note: note}
}

// Write commits a change and returns its revision; a key at another revision gives a *fault.Conflict.
func (l *Ledger) Write(ctx context.Context, c Change) (int64, error) {
	lease, err := l.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now().UTC()
	record := audit.Record{Time: now, Actor: c.Actor, Action: c.Action, Key: c.Key, From: c.From, Changes: audit.Diff(c.Before, c.After)}
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
	res, err := store.Settle(ctx, l.store, t, witness)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, conflict(c, res)
	}
	record.To = res.Revision
	l.note(record)
	return res.Revision, nil
}

func conflict(c Change, res store.Result) error {
	out := &fault.Conflict{Key: c.Key, Expected: c.From}
	for _, kv := range res.Found {
		if kv.Key == store.StatePrefix+c.Key {
			out.Actual = kv.Revision
		}
	}
	return out
}

// currentLease returns the lease of new audit records.
func (l *Ledger) currentLease(ctx context.Context) (int64, error) {
	l.mu.Lock()
	lease, end := l.lease, l.leaseEnd
	l.mu.Unlock()
	if lease != 0 && time.Now().Before(end) {
		return lease, nil
	}
	lease, err := l.store.Grant(ctx, Retention+leaseFor)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.leaseEnd = lease, time.Now().Add(leaseFor)
	return lease, nil
}

// Filter selects audit records; zero fields select all.
type Filter struct {
	Since time.Time
	// Prefix is the start of the key, such as "Model/".
	Prefix string
}

// Records returns the audit records that the store still has, oldest first.
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
