package site

import (
	"crypto/subtle"
	"encoding/hex"
)

// KeyIndex finds the number of the account that holds a key, at a cost that does not depend on the number of keys.
type KeyIndex map[KeyDigest]indexedKey

type indexedKey struct {
	digest  KeyDigest
	account int
}

// Add adds a key unless another account holds it. It returns the number of the account that holds the key.
func (x KeyIndex) Add(key KeyDigest, account int) int {
	if held, ok := x[key]; ok {
		return held.account
	}
	x[key] = indexedKey{key, account}
	return account
}

// Find returns the number of the account that holds a key, and whether there is one. The key is
// looked up by its digest, so the time that this takes tells nothing about how much of a key is right.
func (x KeyIndex) Find(key string) (int, bool) {
	if key == "" {
		return 0, false
	}
	digest := DigestKey(key)
	held, ok := x[digest]
	if !ok || subtle.ConstantTimeCompare(held.digest[:], digest[:]) != 1 {
		return 0, false
	}
	return held.account, true
}

// ParseKeyDigest parses a digest of hexadecimal digits; false if the text is not one.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var out KeyDigest
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(out) {
		return out, false
	}
	copy(out[:], data)
	return out, true
}

// String returns the digest as lower-case hexadecimal digits.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}
