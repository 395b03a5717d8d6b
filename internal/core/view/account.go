package view

import (
	"strings"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/core/site"
)

// accountKeys finds the accounts by their keys.
type accountKeys struct {
	// declared is true if an account exists, also one whose value cannot be decoded.
	declared bool
	list     []kinds.Resource
	index    site.KeyIndex
}

// indexKeys builds the index of keys. Writers refuse a key of another account, but not if both accounts
// are written at the same moment; the key then belongs to the account that is first by name.
func (v *View) indexKeys() {
	v.keys = accountKeys{list: v.Resources(kinds.Account), index: site.KeyIndex{}}
	for key, e := range v.entries {
		v.keys.declared = v.keys.declared || !e.Deleted && strings.HasPrefix(key, kinds.ResourceKey(kinds.Account, ""))
	}
	for i, r := range v.keys.list {
		for _, text := range r.Account.Keys {
			if digest, ok := site.ParseKeyDigest(text); ok {
				v.keys.index.Add(digest, i)
			}
		}
	}
}

// RequiresKey reports whether callers must identify themselves by the key of an account.
func (v *View) RequiresKey() bool { return v.keys.declared }

// FindAccount returns the account that holds a key and whether there is one.
func (v *View) FindAccount(key string) (kinds.Resource, bool) {
	i, ok := v.keys.index.Find(key)
	if !ok {
		return kinds.Resource{}, false
	}
	return v.keys.list[i], true
}

// Account returns the declared account and whether it exists.
func (v *View) Account(name string) (kinds.Resource, bool) {
	r, ok := v.accounts[name]
	return r, ok
}
