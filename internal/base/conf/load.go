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

// InvalidSetting reports an invalid field of a settings or resource file; Line is 0 if unknown, and Value is empty if the field has none.
type InvalidSetting struct {
	File  string
	Line  int
	Field string
	Value string
	Rule  string
}

// Error returns the file, the line if known, the field, its value if there is one, and the rule.
func (w *InvalidSetting) Error() string {
	location := w.File
	if w.Line > 0 {
		location = fmt.Sprintf("%s:%d", w.File, w.Line)
	}
	if w.Value == "" {
		return fmt.Sprintf("%s: field %s %s", location, w.Field, w.Rule)
	}
	return fmt.Sprintf("%s: field %s: value %q %s", location, w.Field, w.Value, w.Rule)
}

// ReadFile decodes a settings file into out, which holds the defaults, and validates it.
func ReadFile(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return Decode(file, data, out)
}

// Decode decodes settings from a YAML document into out and validates them; errors are of type *InvalidSetting.
func Decode(file string, data []byte, out any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return decodeError(file, data, err)
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return &InvalidSetting{File: file, Field: "document", Rule: "must be the only one in the file"}
	}
	for _, f := range kinds.ValidateStruct("", out) {
		return &InvalidSetting{File: file, Line: lineOfPath(data, f.Path), Field: f.Path, Value: f.Value, Rule: f.Rule}
	}
	return nil
}

var (
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)
	typeMismatch = regexp.MustCompile("line (\\d+): cannot unmarshal \\S+ `?([^`]*)`? into (\\S+)")
	lineNumber   = regexp.MustCompile(`line (\d+)`)
)

// decodeError turns an error of the YAML decoder into an *InvalidSetting.
func decodeError(file string, data []byte, err error) error {
	text := err.Error()
	if m := unknownField.FindStringSubmatch(text); m != nil {
		return &InvalidSetting{File: file, Line: parseLineNumber(m[1]), Field: m[2], Rule: "is not a known field"}
	}
	if m := typeMismatch.FindStringSubmatch(text); m != nil {
		line := parseLineNumber(m[1])
		return &InvalidSetting{File: file, Line: line, Field: fieldOnLine(data, line), Value: m[2], Rule: "must be " + m[3]}
	}
	if m := lineNumber.FindStringSubmatch(text); m != nil {
		line := parseLineNumber(m[1])
		field, value := quotedField(lineText(data, line), text)
		_, reason, _ := strings.Cut(text, m[0]+": ")
		return &InvalidSetting{File: file, Line: line, Field: field, Value: value, Rule: "is not valid: " + reason}
	}
	return &InvalidSetting{File: file, Field: "document", Rule: "is not valid: " + text}
}

func parseLineNumber(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

// scalarField matches a field with a scalar value, in a block or in braces.
var scalarField = regexp.MustCompile(`(\w+):\s*["']?([^"'{},\[\]]+?)["']?\s*(?:[,}]|$)`)

// quotedField returns the first field of the line whose value the error message quotes,
// and that value; "document" if there is none.
func quotedField(line, message string) (field, value string) {
	for _, m := range scalarField.FindAllStringSubmatch(line, -1) {
		if strings.Contains(message, strconv.Quote(m[2])) {
			return m[1], m[2]
		}
	}
	return "document", ""
}

func lineText(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return lines[line-1]
}

func fieldOnLine(data []byte, line int) string {
	name, _, ok := strings.Cut(lineText(data, line), ":")
	if !ok {
		return "document"
	}
	return strings.TrimLeft(name, " -{")
}

// lineOfPath returns the line of a field path such as Listen.Callers, or of its deepest
// ancestor in the document; 0 if the document cannot be decoded.
func lineOfPath(data []byte, path string) int {
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return 0
	}
	node, line := root.Content[0], root.Content[0].Line
	for _, name := range strings.Split(path, ".") {
		name, _, _ = strings.Cut(name, "[")
		next := childNode(node, name)
		if next == nil {
			break
		}
		node, line = next, next.Line
	}
	return line
}

func childNode(node *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

// DecodeResources decodes and validates the resources in a file of one or more YAML
// documents; errors name the file, the line and the field.
func DecodeResources(file string, data []byte) ([]kinds.Resource, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var out []kinds.Resource
	keyHolders := map[string]string{}
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, decodeError(file, data, err)
		}
		r, err := decodeResource(file, doc.Content[0])
		if err == nil {
			err = withLocation(file, doc.Content[0], addKeys(r, keyHolders))
		}
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
}

// addKeys adds the digests of an account to those of the accounts before it in the file, which must not have them.
func addKeys(r kinds.Resource, holders map[string]string) error {
	if r.Kind != kinds.Account {
		return nil
	}
	if err := kinds.CheckKeyHolders(r, holders); err != nil {
		return err
	}
	for _, key := range r.Account.Keys {
		holders[key] = r.Name
	}
	return nil
}

// decodeResource decodes and validates one document.
func decodeResource(file string, doc *yaml.Node) (kinds.Resource, error) {
	offset := doc.Line - 1
	data, err := yaml.Marshal(doc)
	if err != nil {
		return kinds.Resource{}, err
	}
	var envelope struct {
		Kind kinds.Kind `yaml:"Kind"`
		Name string     `yaml:"Name"`
		Spec yaml.Node  `yaml:"Spec"`
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&envelope); err != nil {
		return kinds.Resource{}, shiftLine(decodeError(file, data, err), offset)
	}
	r, err := kinds.NewResource(envelope.Kind, envelope.Name)
	if err != nil {
		return r, withLocation(file, doc, err)
	}
	spec, err := yaml.Marshal(&envelope.Spec)
	if err != nil {
		return r, err
	}
	dec = yaml.NewDecoder(bytes.NewReader(spec))
	dec.KnownFields(true)
	if err := dec.Decode(r.Spec()); err != nil && !errors.Is(err, io.EOF) {
		var w *InvalidSetting
		if errors.As(decodeError(file, spec, err), &w) {
			w.Field = "Spec." + w.Field
			if line := lineOfKey(doc, strings.TrimPrefix(w.Field, "Spec.")); line > 0 {
				w.Line = line
			}
			return r, w
		}
	}
	return r, withLocation(file, doc, kinds.Validate(r))
}

// withLocation turns field errors into an *InvalidSetting with file and line, and returns other errors as they are.
func withLocation(file string, doc *yaml.Node, err error) error {
	if err == nil {
		return nil
	}
	var fieldErr *fault.InvalidField
	var fieldErrs *fault.InvalidFields
	switch {
	case errors.As(err, &fieldErr):
	case errors.As(err, &fieldErrs):
		fieldErr = &fieldErrs.List[0]
	default:
		return err
	}
	line := doc.Line
	parts := strings.Split(fieldErr.Path, ".")
	name, _, _ := strings.Cut(parts[len(parts)-1], "[")
	if keyLine := lineOfKey(doc, name); keyLine > 0 {
		line = keyLine
	}
	return &InvalidSetting{File: file, Line: line, Field: fieldErr.Path, Value: fieldErr.Value, Rule: fieldErr.Rule}
}

// lineOfKey returns the line of the first mapping key with the name below a node; 0 if there is none.
func lineOfKey(node *yaml.Node, name string) int {
	for i, c := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 0 && c.Value == name {
			return c.Line
		}
		if line := lineOfKey(c, name); line > 0 {
			return line
		}
	}
	return 0
}

func shiftLine(err error, lines int) error {
	var w *InvalidSetting
	if errors.As(err, &w) {
		w.Line += lines
	}
	return err
}
