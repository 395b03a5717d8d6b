package caller

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/view"
	"foxtailcroft/internal/plat/store"
)

const (
	// accountCheckInterval bounds the reads of the accounts while callers send unknown keys. A result counts
	// for that long, so that a new key may be unknown for a second after it was written.
	accountCheckInterval = time.Second
	// accountCheckTimeout bounds how long a request with an unknown key waits for the store.
	accountCheckTimeout = 500 * time.Millisecond
)

// AccountCheck finds out from the store whether an entry's configuration has all accounts. It reads only
// when asked.
type AccountCheck struct {
	store     store.Store
	holder    *view.Holder
	sinceBoot func() time.Duration

	mu sync.Mutex
	// checkedAt is when the latest read was sent, 0 if none was, and current its result, which is false
	// until it is answered.
	checkedAt time.Duration
	current   bool
}

// NewAccountCheck returns a check; sinceBoot is a clock that counts the time in which the machine was suspended.
func NewAccountCheck(s store.Store, holder *view.Holder, sinceBoot func() time.Duration) *AccountCheck {
	return &AccountCheck{store: s, holder: holder, sinceBoot: sinceBoot}
}

// HasAllAccounts reports whether the configuration has all accounts that the store had within
// accountCheckInterval; false if that is not known.
func (c *AccountCheck) HasAllAccounts(ctx context.Context) bool {
	c.mu.Lock()
	now := c.sinceBoot()
	if c.checkedAt > 0 && now-c.checkedAt < accountCheckInterval {
		defer c.mu.Unlock()
		return c.current
	}
	c.checkedAt, c.current = now, false
	c.mu.Unlock()
	// Not ended with the caller's request, since the result is for others as well.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), accountCheckTimeout)
	defer cancel()
	list, err := c.store.Range(ctx, store.StatePrefix+kinds.ResourceKey(kinds.Account, ""))
	current := err == nil && hasAll(c.holder.View(), list)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkedAt == now {
		c.current = current
	}
	return current
}

// hasAll reports whether a view, which is complete up to its revision, has all keys of a list.
func hasAll(v *view.View, list store.List) bool {
	return !slices.ContainsFunc(list.KVs, func(kv store.KV) bool { return kv.Revision > v.Revision() })
}
