package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Record says who changed what, when, and from which revision to which.
type Record struct {
	Time time.Time
	// Actor is the operator's name or the node that decided.
	Actor string
	// Action is Create, Update, Delete or the name of a decision.
	Action string
	Key    string
	From   int64
	To     int64
	// Changes are the fields that differ.
	Changes []Change `json:",omitempty"`
}

// Change is one field's old and new value as JSON text, empty if absent.
type Change struct {
	Path string
	Old  string
	New  string
}

// Diff returns the fields that differ between two JSON documents, sorted by path.
func Diff(before, after []byte) []Change {
	a, b := map[string]string{}, map[string]string{}
	flatten("", decode(before), a)
	flatten("", decode(after), b)
	var out []Change
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

func decode(doc []byte) any {
	var v any
	if json.Unmarshal(doc, &v) != nil {
		return nil
	}
	return v
}

// flatten writes the leaves of a document under their paths.
func flatten(path string, v any, out map[string]string) {
	switch t := v.(type) {
	case nil:
	case map[string]any:
		for k, x := range t {
			flatten(join(path, k), x, out)
		}
	case []any:
		for i, x := range t {
			flatten(fmt.Sprintf("%s[%d]", path, i), x, out)
		}
	default:
		text, err := json.Marshal(t)
		if err == nil {
			out[path] = string(text)
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
