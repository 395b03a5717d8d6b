// Package claim keeps the claim log of idempotency keys: a key is written to
// the store before its call is dispatched, so that no other owner of its
// partition, now or later, dispatches the call again.
package claim
