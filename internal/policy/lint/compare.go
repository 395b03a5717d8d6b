package lint

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"time"

	"foxtailcroft/internal/core/site"
)

// Compare returns the differences of a document from the version in force. Entries are compared by
// their names, so that a new one before others does not make those differ.
func Compare(inForce, next *site.Draft) []Finding {
	var out []Finding
	if next.Version < inForce.Version {
		out = append(out, Finding{Kind: Error, Path: "Version", Value: fmt.Sprint(next.Version), Text: fmt.Sprintf("is below %d, the version in force, so fronts ignore the document", inForce.Version)})
	}
	before, after := flatten(inForce), flatten(next)
	skip := ""
	for _, l := range after.leaves {
		old, ok := before.byIdentity[l.identity]
		switch {
		case skip != "" && strings.HasPrefix(l.identity, skip):
		case !ok:
			skip = l.identity + "."
			out = append(out, Finding{Kind: Difference, Path: l.path, Value: l.text, Text: "is not in the version in force"})
		case !l.isEntry && old.text != l.text:
			text := fmt.Sprintf("was %q in the version in force", old.text)
			if strings.HasSuffix(l.path, ".Weight") {
				// The weight of a route's only service has no field of its own.
				text = "is the weight, which " + text
			}
			out = append(out, Finding{Kind: Difference, Path: l.path, Value: l.text, Text: text})
		}
	}
	skip = ""
	for _, l := range before.leaves {
		if _, ok := after.byIdentity[l.identity]; ok || skip != "" && strings.HasPrefix(l.identity, skip) {
			continue
		}
		skip = l.identity + "."
		out = append(out, Finding{Kind: Difference, Path: l.path, Value: l.text, Text: "is only in the version in force", Removed: true})
	}
	return out
}

// leaf is a field with a scalar value, or an entry of a list or an optional part. The identity has the
// names of the entries in which the field lies, and the path their numbers.
type leaf struct {
	identity, path, text string
	isEntry              bool
}

// leaves are the leaves of a document; an entry comes before its fields.
type leaves struct {
	leaves     []leaf
	byIdentity map[string]leaf
}

func flatten(d *site.Draft) *leaves {
	out := &leaves{byIdentity: map[string]leaf{}}
	out.add("", "", reflect.ValueOf(*d))
	return out
}

// add adds the leaves of a value.
func (l *leaves) add(identity, path string, v reflect.Value) {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		l.append(leaf{identity: identity, path: path, text: time.Duration(v.Int()).String()})
	case v.Kind() == reflect.Pointer && v.Type().Elem().Kind() != reflect.Struct:
		text := "none"
		if !v.IsNil() {
			text = fmt.Sprint(v.Elem().Interface())
		}
		l.append(leaf{identity: identity, path: path, text: text})
	case v.Kind() == reflect.Pointer:
		if !v.IsNil() {
			l.append(leaf{identity: identity, path: path, isEntry: true})
			l.add(identity, path, v.Elem())
		}
	case v.Kind() == reflect.Struct:
		l.addStruct(identity, path, v)
	case v.Kind() == reflect.Slice:
		l.addList(identity, path, v)
	default:
		l.append(leaf{identity: identity, path: path, text: fmt.Sprint(v.Interface())})
	}
}

// addStruct adds the leaves of the fields of a struct. Those of a quota count as fields of its account.
func (l *leaves) addStruct(identity, path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Type == reflect.TypeFor[site.Quota]() {
			l.add(identity, path, v.Field(i))
			continue
		}
		value := v.Field(i)
		if field.Name == "CountsTokens" {
			value = reflect.ValueOf(unitName(value.Bool()))
		}
		l.add(joinPath(identity, field.Name), joinPath(path, field.Name), value)
	}
}

func unitName(countsTokens bool) string {
	if countsTokens {
		return "tokens"
	}
	return "requests"
}

// addList adds the entries of a list. The second and further ones of a name get a number.
func (l *leaves) addList(identity, path string, v reflect.Value) {
	seen := map[string]int{}
	for i := range v.Len() {
		name, text := entryName(v.Index(i))
		seen[name]++
		if n := seen[name]; n > 1 {
			name = fmt.Sprintf("%s#%d", name, n)
		}
		entry := leaf{identity: fmt.Sprintf("%s{%q}", identity, name), path: fmt.Sprintf("%s[%d]", path, i), text: text, isEntry: true}
		l.append(entry)
		if v.Index(i).Kind() == reflect.Struct {
			l.add(entry.identity, entry.path, v.Index(i))
		}
	}
}

// entryName returns the name by which an entry is found in another version, and the text that may be
// shown of it, which is empty for a key.
func entryName(v reflect.Value) (name, text string) {
	if digest, ok := v.Interface().(site.KeyDigest); ok {
		return hex.EncodeToString(digest[:]), ""
	}
	if v.Kind() == reflect.Struct {
		for _, field := range []string{"Name", "Service"} {
			if f := v.FieldByName(field); f.IsValid() {
				return f.String(), f.String()
			}
		}
	}
	return fmt.Sprint(v.Interface()), fmt.Sprint(v.Interface())
}

func (l *leaves) append(one leaf) {
	l.leaves = append(l.leaves, one)
	l.byIdentity[one.identity] = one
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
