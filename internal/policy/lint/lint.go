package lint

import (
	"errors"
	"fmt"
	"strings"

	"foxtailcroft/internal/core/site"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Error is a value that fronts reject or cannot use.
	Error Kind = "error"
	// Unused is an entry that no request can reach.
	Unused Kind = "unused"
	// Contradiction is a limit that another one makes meaningless, or a field with the opposite of the
	// effect that it seems to have.
	Contradiction Kind = "contradiction"
	// Difference is a difference from the version in force.
	Difference Kind = "difference"
)

// Finding is one finding on a field.
type Finding struct {
	Kind Kind
	// Path is the field, in the form that site.Draft describes.
	Path string
	// Value is the field's value as text, empty if it has none or is a secret.
	Value string
	// Text completes a sentence that begins with the field and its value.
	Text string
	// Other is the path of another field, with which the sentence ends; empty if it names none.
	Other string
	// Removed is true if Path is a field of the version in force that the new one lacks.
	Removed bool
}

// Check returns the findings on a document by itself. More adapters than places for them are no finding,
// since adapters are loaded on demand.
func Check(d *site.Draft) []Finding {
	c := &checker{draft: d}
	c.services()
	for i := range d.Routes {
		c.route(i)
	}
	c.shadowedRoutes()
	c.accounts()
	return c.list
}

type checker struct {
	draft *site.Draft
	list  []Finding
}

func (c *checker) add(kind Kind, path, value, text string) {
	c.list = append(c.list, Finding{Kind: kind, Path: path, Value: value, Text: text})
}

func (c *checker) addWithOther(kind Kind, path, value, text, other string) {
	c.list = append(c.list, Finding{Kind: kind, Path: path, Value: value, Text: text, Other: other})
}

func routePath(i int, field string) string   { return fmt.Sprintf("Routes[%d].%s", i, field) }
func servicePath(i int) string               { return fmt.Sprintf("Services[%d]", i) }
func accountPath(i int, field string) string { return fmt.Sprintf("Accounts[%d].%s", i, field) }

// services finds services of the same name, and those without a route.
func (c *checker) services() {
	used := map[string]bool{}
	for _, r := range c.draft.Routes {
		for _, s := range r.Split {
			used[s.Service] = true
		}
	}
	first := map[string]int{}
	for i, s := range c.draft.Services {
		if other, ok := first[s.Name]; ok {
			c.addWithOther(Error, servicePath(i)+".Name", s.Name, "is also the name, and takes the place, of", servicePath(other))
		} else {
			first[s.Name] = i
		}
		if !used[s.Name] {
			c.add(Unused, servicePath(i), s.Name, "has no route")
		}
	}
}

// route checks one route by itself.
func (c *checker) route(i int) {
	r := &c.draft.Routes[i]
	isKnownKind := r.Kind == site.Safe || r.Kind == site.Unsafe || r.Kind == site.Streaming
	if !isKnownKind {
		c.add(Error, routePath(i, "Kind"), string(r.Kind), "must be one of safe, unsafe, streaming")
	}
	for _, f := range []struct {
		name  string
		value fmt.Stringer
		isBad bool
	}{
		{"Timeout", r.Timeout, r.Timeout < 0},
		{"ResponseGoal", r.ResponseGoal, r.ResponseGoal < 0},
		{"MaxTokenGap", r.MaxTokenGap, r.MaxTokenGap < 0},
	} {
		if f.isBad {
			c.add(Error, routePath(i, f.name), f.value.String(), "must not be negative")
		}
	}
	c.split(i, r)
	if r.Timeout > 0 && r.Timeout < r.ResponseGoal {
		c.addWithOther(Contradiction, routePath(i, "Timeout"), r.Timeout.String(), fmt.Sprintf("ends requests before the response goal of %s in", r.ResponseGoal), routePath(i, "ResponseGoal"))
	}
	if isKnownKind && r.MaxAttempts > 1 && !r.Retryable() {
		c.addWithOther(Contradiction, routePath(i, "MaxAttempts"), fmt.Sprint(r.MaxAttempts), "has no effect, because requests are not sent again with the kind in", routePath(i, "Kind"))
	}
}

// split checks that the services of a route are declared.
func (c *checker) split(i int, r *site.Route) {
	if len(r.Split) == 0 {
		c.add(Error, routePath(i, "Split"), "", "must name a service")
	}
	for n, s := range r.Split {
		isDeclared := false
		for _, declared := range c.draft.Services {
			isDeclared = isDeclared || declared.Name == s.Service
		}
		if !isDeclared {
			c.add(Error, routePath(i, fmt.Sprintf("Split[%d].Service", n)), s.Service, "is not the name of a service")
		}
	}
}

// shadowedRoutes finds routes after others with the same host and prefix, which take all their requests.
func (c *checker) shadowedRoutes() {
	type target struct{ host, prefix string }
	first := map[target]int{}
	for i, r := range c.draft.Routes {
		t := target{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[t]; ok {
			c.addWithOther(Unused, fmt.Sprintf("Routes[%d]", i), r.Name, "gets no requests, because its host and prefix are those of", fmt.Sprintf("Routes[%d]", other))
			continue
		}
		first[t] = i
	}
}

// accounts checks the accounts one by one and against each other.
func (c *checker) accounts() {
	if c.draft.Accounts != nil && len(c.draft.Accounts) == 0 {
		c.add(Contradiction, "Accounts", "", "is an empty list, so that requests need no key, as without the list")
	}
	hasKeylessRoute := false
	for _, r := range c.draft.Routes {
		hasKeylessRoute = hasKeylessRoute || r.Keyless
	}
	names, keys := map[string]int{}, site.KeyIndex{}
	for i, a := range c.draft.Accounts {
		var invalid *site.InvalidAccount
		if _, err := site.NewAccounts([]site.Account{a}); errors.As(err, &invalid) {
			c.add(Error, accountPath(i, invalid.Field), invalid.Value, invalid.Rule)
		}
		if other, ok := names[a.Name]; ok && a.Name != "" {
			c.addWithOther(Error, accountPath(i, "Name"), a.Name, "is also the name of", fmt.Sprintf("Accounts[%d]", other))
		} else {
			names[a.Name] = i
		}
		if len(a.Keys) == 0 && !hasKeylessRoute {
			c.add(Unused, fmt.Sprintf("Accounts[%d]", i), a.Name, "has no keys, and each route needs one")
		}
		c.keys(i, keys)
		c.quota(i, a.Quota)
	}
}

// keys finds keys of an account that belong to an account before it, and empty ones.
func (c *checker) keys(i int, keys site.KeyIndex) {
	for n, key := range c.draft.Accounts[i].Keys {
		path := accountPath(i, fmt.Sprintf("Keys[%d]", n))
		if key == site.DigestKey("") {
			c.add(Unused, path, "", "is empty, and requests without a key have no account")
			continue
		}
		if other := keys.Add(key, i); other != i {
			c.addWithOther(Error, path, "", fmt.Sprintf("is also a key of account %q,", c.draft.Accounts[other].Name), fmt.Sprintf("Accounts[%d]", other))
		}
	}
}

// quota finds a burst that is below the cost of one request that declares no tokens.
func (c *checker) quota(i int, q site.Quota) {
	cost := q.Cost(&site.RequestInfo{})
	if !q.IsLimited() || q.Burst < 0 || q.Burst >= cost {
		return
	}
	text := fmt.Sprintf("is below the cost of one plain request, %g", cost)
	if q.CountsTokens {
		c.addWithOther(Contradiction, accountPath(i, "Burst"), fmt.Sprint(q.Burst), text+" in", accountPath(i, "PlainTokens"))
		return
	}
	c.add(Contradiction, accountPath(i, "Burst"), fmt.Sprint(q.Burst), text)
}
