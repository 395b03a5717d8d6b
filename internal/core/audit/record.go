package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Record is an audit record of one change: who changed which key, when, and from which revision to which.
type Record struct {
	Time time.Time
	// Actor is the name of the operator, or of the node that made the decision.
	Actor string
	// Action is Create, Update, Delete or the name of a decision.
	Action string
	Key    string
	// From is the key's revision before the change, 0 if it did not exist, and To the store
	// revision of the change. Both are 0 for a decision that changes no key, such as an eviction.
	From int64
	To   int64
	// Changes are the changed fields.
	Changes Changes `json:",omitempty"`
}

// Change is the old and new value of one field as JSON text; empty if the field is absent.
type Change struct {
	Path string
	Old  string
	New  string
}

// Changes are the changed fields of one record.
type Changes []Change

// keysPath is the path of the digests of an account's keys.
const keysPath = "Spec.Keys["

// hiddenDigest stands for a digest in a record.
const hiddenDigest = `"(digest)"`

// WithoutKeys returns the changes with placeholders for digests of keys, because records are also logged.
func (c Changes) WithoutKeys() Changes {
	out := slices.Clone(c)
	for i, change := range out {
		if !strings.HasPrefix(change.Path, keysPath) {
			continue
		}
		if change.Old != "" {
			out[i].Old = hiddenDigest
		}
		if change.New != "" {
			out[i].New = hiddenDigest
		}
	}
	return out
}

// Diff returns the fields that differ between two JSON documents, sorted by path. A
// document that is not valid JSON counts as empty.
func Diff(before, after []byte) Changes {
	a, b := map[string]string{}, map[string]string{}
	flattenLeaves("", decodeJSON(before), a)
	flattenLeaves("", decodeJSON(after), b)
	var out Changes
	for path, v := range a {
		if b[path] != v {
			out = append(out, Change{path, v, b[path]})
		}
	}
	for path, v := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Change{path, "", v})
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		if x.Path < y.Path {
			return -1
		}
		return 1
	})
	return out
}

// decodeJSON returns the decoded document, nil if it is not valid JSON.
func decodeJSON(doc []byte) any {
	var v any
	if json.Unmarshal(doc, &v) != nil {
		return nil
	}
	return v
}

// flattenLeaves writes the scalar values of a document into out as JSON text, keyed by path.
func flattenLeaves(path string, v any, out map[string]string) {
	switch t := v.(type) {
	case nil:
	case map[string]any:
		for k, x := range t {
			flattenLeaves(joinPath(path, k), x, out)
		}
	case []any:
		for i, x := range t {
			flattenLeaves(fmt.Sprintf("%s[%d]", path, i), x, out)
		}
	default:
		text, err := json.Marshal(t)
		if err == nil {
			out[path] = string(text)
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
