package site

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Quota bounds what the callers of a client account may ask of all fronts together.
type Quota struct {
	// PerSecond and Burst are in tokens if CountsTokens is set, otherwise in requests; a PerSecond of 0 is no limit.
	PerSecond    float64
	Burst        float64
	CountsTokens bool
	// PlainTokens is the cost of a request that declares no tokens.
	PlainTokens float64
}

// IsLimited reports whether the quota bounds anything.
func (q Quota) IsLimited() bool {
	return q.PerSecond > 0
}

// MostIn returns what the quota admits in a window at the most; without a window, in one second.
func (q Quota) MostIn(window time.Duration) float64 {
	return q.PerSecond*max(time.Second, window).Seconds() + q.Burst
}

// Cost returns what a request counts, in the quota's unit.
func (q Quota) Cost(r *RequestInfo) float64 {
	if !q.CountsTokens {
		return 1
	}
	if !r.DeclaresTokens {
		return q.PlainTokens
	}
	return float64(r.PromptTokens) + float64(r.MaxTokens)
}

// Account is a client account; its callers identify themselves by its keys.
type Account struct {
	Name string
	Keys []KeyDigest
	// Priority overrides those of the routes; it is nil if the account has none.
	Priority *int
	Quota    Quota
}

// InvalidAccount is the error of an account in the operator's document.
type InvalidAccount struct {
	Account string
	Field   string
	Value   string
	Rule    string
}

// Error returns a message with the account, the field, its value and the rule that it breaks.
func (i *InvalidAccount) Error() string {
	return fmt.Sprintf("account %q: %s %q %s", i.Account, i.Field, i.Value, i.Rule)
}

// Accounts are the client accounts of a document; a nil pointer means that requests need no key.
type Accounts struct {
	list  []Account
	byKey KeyIndex
}

// NewAccounts returns accounts that are found by their keys; errors are *InvalidAccount.
func NewAccounts(list []Account) (*Accounts, error) {
	a := &Accounts{list: slices.Clone(list), byKey: KeyIndex{}}
	names := map[string]bool{}
	for i, account := range a.list {
		if err := account.check(); err != nil {
			return nil, err
		}
		if names[account.Name] {
			return nil, &InvalidAccount{account.Name, "Name", account.Name, "is also the name of another account"}
		}
		names[account.Name] = true
		for n, key := range account.Keys {
			if other := a.byKey.Add(key, i); other != i {
				return nil, &InvalidAccount{account.Name, "Keys", fmt.Sprintf("(number %d)", n+1), "is also a key of account " + a.list[other].Name}
			}
		}
	}
	return a, nil
}

func (a Account) check() error {
	switch {
	case a.Name == "":
		return &InvalidAccount{a.Name, "Name", "", "is required"}
	case a.Quota.PerSecond < 0:
		return &InvalidAccount{a.Name, "PerSecond", fmt.Sprint(a.Quota.PerSecond), "must not be negative"}
	case a.Quota.Burst < 0:
		return &InvalidAccount{a.Name, "Burst", fmt.Sprint(a.Quota.Burst), "must not be negative"}
	case a.Quota.PlainTokens < 0:
		return &InvalidAccount{a.Name, "PlainTokens", fmt.Sprint(a.Quota.PlainTokens), "must not be negative"}
	}
	return nil
}

// All returns the accounts in the document's order.
func (a *Accounts) All() []Account {
	if a == nil {
		return nil
	}
	return a.list
}

// Find returns the account with a key, or nil if there is none.
func (a *Accounts) Find(key string) *Account {
	if a == nil {
		return nil
	}
	i, ok := a.byKey.Find(key)
	if !ok {
		return nil
	}
	return &a.list[i]
}
