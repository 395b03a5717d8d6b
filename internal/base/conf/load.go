package conf

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"foxtailcroft/internal/core/fault"
	"foxtailcroft/internal/core/kinds"
)

// Wrong reports a setting that cannot be used.
type Wrong struct {
	File  string
	Line  int
	Field string
	Value string
	Rule  string
}

// Error names file, line, field, value and rule.
func (w *Wrong) Error() string {
	at := w.File
	if w.Line > 0 {
		at = fmt.Sprintf("%s:%d", w.File, w.Line)
	}
	if w.Value == "" {
		return fmt.Sprintf("%s: field %s %s", at, w.Field, w.Rule)
	}
	return fmt.Sprintf("%s: field %s: value %q %s", at, w.Field, w.Value, w.Rule)
}

// Read reads a settings file into out, which holds the defaults, and checks it.
func Read(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, data, out)
}

// Decode reads settings from a YAML document into out and checks them; errors are *Wrong.
func Decode(file string, data []byte, out any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return wrong(file, data, err)
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return &Wrong{File: file, Field: "document", Rule: "must be the only one in the file"}
	}
	for _, f := range kinds.CheckStruct("", out) {
		return &Wrong{File: file, Line: lineOf(data, f.Path), Field: f.Path, Value: f.Value, Rule: f.Rule}
	}
	return nil
}

var (
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)
	wrongType    = regexp.MustCompile("line (\\d+): cannot unmarshal \\S+ `?([^`]*)`? into (\\S+)")
	lineNumber   = regexp.MustCompile(`line (\d+)`)
)

// wrong turns a decoder's error into a Wrong.
func wrong(file string, data []byte, err error) error {
	text := err.Error()
	if m := unknownField.FindStringSubmatch(text); m != nil {
		return &Wrong{File: file, Line: number(m[1]), Field: m[2], Rule: "is not a known field"}
	}
	if m := wrongType.FindStringSubmatch(text); m != nil {
		line := number(m[1])
		return &Wrong{File: file, Line: line, Field: fieldAt(data, line), Value: m[2], Rule: "must be " + m[3]}
	}
	if m := lineNumber.FindStringSubmatch(text); m != nil {
		line := number(m[1])
		field, value := quotedIn(textAt(data, line), text)
		_, reason, _ := strings.Cut(text, m[0]+": ")
		return &Wrong{File: file, Line: line, Field: field, Value: value, Rule: "is not valid: " + reason}
	}
	return &Wrong{File: file, Field: "document", Rule: "is not valid: " + text}
}

func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

// assigned matches a field with a scalar value, in a block or in braces.
var assigned = regexp.MustCompile(`(\w+):\s*["']?([^"'{},\[\]]+?)["']?\s*(?:[,}]|$)`)

// quotedIn returns the first field and value of a line of which the error quotes the value.
func quotedIn(line, text string) (field, value string) {
	for _, m := range assigned.FindAllStringSubmatch(line, -1) {
		if strings.Contains(text, strconv.Quote(m[2])) {
			return m[1], m[2]
		}
	}
	return "document", ""
}

func textAt(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return lines[line-1]
}

func fieldAt(data []byte, line int) string {
	name, _, ok := strings.Cut(textAt(data, line), ":")
	if !ok {
		return "document"
	}
	return strings.TrimLeft(name, " -{")
}

// lineOf returns the line of a field path such as Listen.Callers, or of the deepest part of it that is there.
func lineOf(data []byte, path string) int {
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return 0
	}
	node, line := root.Content[0], root.Content[0].Line
	for _, name := range strings.Split(path, ".") {
		name, _, _ = strings.Cut(name, "[")
		next := child(node, name)
		if next == nil {
			break
		}
		node, line = next, next.Line
	}
	return line
}

func child(node *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

// Resources reads the resources of a file of one or more YAML documents and
// checks each; errors name the file, the line and the field.
func Resources(file string, data []byte) ([]kinds.Resource, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var out []kinds.Resource
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, wrong(file, data, err)
		}
		r, err := resource(file, doc.Content[0])
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
}

// resource reads one document.
func resource(file string, doc *yaml.Node) (kinds.Resource, error) {
	offset := doc.Line - 1
	data, err := yaml.Marshal(doc)
	if err != nil {
		return kinds.Resource{}, err
	}
	var head struct {
		Kind kinds.Kind `yaml:"Kind"`
		Name string     `yaml:"Name"`
		Spec yaml.Node  `yaml:"Spec"`
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&head); err != nil {
		return kinds.Resource{}, shift(wrong(file, data, err), offset)
	}
	r, err := kinds.Empty(head.Kind, head.Name)
	if err != nil {
		return r, located(file, doc, err)
	}
	spec, err := yaml.Marshal(&head.Spec)
	if err != nil {
		return r, err
	}
	dec = yaml.NewDecoder(bytes.NewReader(spec))
	dec.KnownFields(true)
	if err := dec.Decode(r.Spec()); err != nil && !errors.Is(err, io.EOF) {
		var w *Wrong
		if errors.As(wrong(file, spec, err), &w) {
			w.Field = "Spec." + w.Field
			if at := findKey(doc, strings.TrimPrefix(w.Field, "Spec.")); at > 0 {
				w.Line = at
			}
			return r, w
		}
	}
	return r, located(file, doc, kinds.Check(r))
}

// located adds file and line to field errors.
func located(file string, doc *yaml.Node, err error) error {
	if err == nil {
		return nil
	}
	var one *fault.Field
	var many *fault.Fields
	switch {
	case errors.As(err, &one):
	case errors.As(err, &many):
		one = &many.List[0]
	default:
		return err
	}
	line := doc.Line
	parts := strings.Split(one.Path, ".")
	if at := findKey(doc, parts[len(parts)-1]); at > 0 {
		line = at
	}
	return &Wrong{File: file, Line: line, Field: one.Path, Value: one.Value, Rule: one.Rule}
}

// findKey returns the line of a mapping key anywhere below a node.
func findKey(node *yaml.Node, name string) int {
	for i, c := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 0 && c.Value == name {
			return c.Line
		}
		if at := findKey(c, name); at > 0 {
			return at
		}
	}
	return 0
}

func shift(err error, lines int) error {
	var w *Wrong
	if errors.As(err, &w) {
		w.Line += lines
	}
	return err
}
