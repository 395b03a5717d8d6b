package wire

import "strings"

// keyScopeSeparator ends the account in a scoped key. Headers and names of accounts can't contain it.
const keyScopeSeparator = "\n"

// ScopeKey returns the idempotency key of an account's caller, so that accounts can't see or block each
// other's calls; a key of a caller without an account stays as it is.
func ScopeKey(account, key string) string {
	if account == "" {
		return key
	}
	return account + keyScopeSeparator + key
}

// CallerKey returns the part of a scoped key that the caller has sent.
func CallerKey(scoped string) string {
	return scoped[strings.LastIndex(scoped, keyScopeSeparator)+1:]
}
