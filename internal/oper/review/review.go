package review

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"foxtailcroft/internal/core/site"
	"foxtailcroft/internal/policy/lint"
)

// Input is a document and the name under which findings refer to it.
type Input struct {
	Name   string
	Source *site.Source
}

// Finding is one finding with its place.
type Finding struct {
	File   string
	Line   int
	Column int
	Kind   lint.Kind
	Field  string
	// Value is the field's value, empty if it has none or is a secret.
	Value string `json:",omitempty"`
	Text  string
}

// kindOrder is the order of the kinds in a report.
var kindOrder = []lint.Kind{lint.Error, lint.Unused, lint.Contradiction, lint.Difference}

// Run returns the findings on a document, sorted by kind and position. It compares the document with the
// version in force unless that is nil.
func Run(next Input, inForce *Input) []Finding {
	out := []Finding{}
	for _, m := range next.Source.Mistakes {
		out = append(out, Finding{next.Name, m.Line, m.Column, lint.Error, m.Path, m.Value, m.Rule})
	}
	if next.Source.Draft != nil {
		list := lint.Check(next.Source.Draft)
		if inForce != nil && inForce.Source.Draft != nil {
			list = append(list, lint.Compare(inForce.Source.Draft, next.Source.Draft)...)
		}
		for _, f := range list {
			in := next
			if f.Removed {
				in = *inForce
			}
			out = append(out, locate(in, f))
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
			strings.Compare(fileOrder(a.File, next.Name), fileOrder(b.File, next.Name)), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return out
}

// fileOrder returns a key that sorts findings on the new document before those on the version in force.
func fileOrder(file, first string) string {
	if file == first {
		return ""
	}
	return file
}

// locate puts a finding into the words of the operator.
func locate(in Input, f lint.Finding) Finding {
	at := in.Source.Locate(f.Path)
	text := f.Text
	if f.Other != "" {
		text += " " + in.Source.Locate(f.Other).Path
	}
	return Finding{in.Name, at.Line, at.Column, f.Kind, at.Path, f.Value, text}
}

// Write writes one line for each finding.
func Write(w io.Writer, list []Finding) error {
	var out strings.Builder
	for _, f := range list {
		value := ""
		if f.Value != "" {
			value = fmt.Sprintf(" value %q", f.Value)
		}
		fmt.Fprintf(&out, "%s:%d:%d: %s: %s:%s %s\n", f.File, f.Line, f.Column, f.Kind, f.Field, value, f.Text)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
