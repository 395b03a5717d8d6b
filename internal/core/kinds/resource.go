package kinds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"foxtailcroft/internal/core/fault"
)

// Kind names a sort of resource.
type Kind string

// The kinds that operators declare.
const (
	Model   Kind = "Model"
	Adapter Kind = "Adapter"
	Service Kind = "Service"
	Policy  Kind = "Policy"
)

// All returns the kinds in the order in which one file applies them.
func All() []Kind {
	return []Kind{Policy, Model, Adapter, Service}
}

// Parse returns the kind of that name, in any letter case.
func Parse(name string) (Kind, error) {
	for _, k := range All() {
		if strings.EqualFold(string(k), name) {
			return k, nil
		}
	}
	return "", &fault.Field{Path: "Kind", Value: name, Rule: "must be one of Model, Adapter, Service, Policy"}
}

// Key returns the configuration key of a resource.
func Key(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// Resource is one declared resource; exactly the spec that its Kind names is set.
type Resource struct {
	Kind Kind
	Name string
	// Generation counts the accepted changes of Spec, from 1.
	Generation int64
	// Revision is the store's revision of the last accepted change; it is not part of the stored value.
	Revision int64
	Model    *ModelSpec   `json:",omitempty"`
	Adapter  *AdapterSpec `json:",omitempty"`
	Service  *ServiceSpec `json:",omitempty"`
	Policy   *PolicySpec  `json:",omitempty"`
}

type envelope struct {
	Kind       Kind
	Name       string
	Generation int64           `json:",omitempty"`
	Revision   int64           `json:",omitempty"`
	Spec       json.RawMessage `json:",omitempty"`
}

// Spec returns a pointer to the spec of the resource's kind.
func (r Resource) Spec() any {
	switch r.Kind {
	case Model:
		return r.Model
	case Adapter:
		return r.Adapter
	case Service:
		return r.Service
	case Policy:
		return r.Policy
	}
	return nil
}

// Key returns the resource's configuration key.
func (r Resource) Key() string {
	return Key(r.Kind, r.Name)
}

// WithGeneration returns the resource at another generation.
func (r Resource) WithGeneration(g int64) Resource {
	r.Generation = g
	return r
}

// WithRevision returns the resource at another revision.
func (r Resource) WithRevision(rev int64) Resource {
	r.Revision = rev
	return r
}

// MarshalJSON writes Kind, Name, Generation, Revision and Spec.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec())
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{r.Kind, r.Name, r.Generation, r.Revision, spec})
}

// UnmarshalJSON reads what MarshalJSON writes and refuses unknown fields.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var e envelope
	if err := strictJSON(data, &e, ""); err != nil {
		return err
	}
	out, err := Empty(e.Kind, e.Name)
	if err != nil {
		return err
	}
	out.Generation, out.Revision = e.Generation, e.Revision
	if len(e.Spec) > 0 {
		if err := strictJSON(e.Spec, out.Spec(), "Spec."); err != nil {
			return err
		}
	}
	*r = out
	return nil
}

// Empty returns a resource of the kind with a zero spec.
func Empty(kind Kind, name string) (Resource, error) {
	r := Resource{Kind: kind, Name: name}
	switch kind {
	case Model:
		r.Model = &ModelSpec{}
	case Adapter:
		r.Adapter = &AdapterSpec{}
	case Service:
		r.Service = &ServiceSpec{}
	case Policy:
		r.Policy = &PolicySpec{}
	default:
		_, err := Parse(string(kind))
		if err == nil {
			err = &fault.Field{Path: "Kind", Value: string(kind), Rule: "must be written Model, Adapter, Service or Policy"}
		}
		return r, err
	}
	return r, nil
}

// strictJSON decodes data into out and turns decoder errors into field errors below prefix.
func strictJSON(data []byte, out any, prefix string) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		if dec.More() {
			return &fault.Field{Path: strings.TrimSuffix(prefix, "."), Value: "", Rule: "is followed by more data"}
		}
		return nil
	}
	var nested *fault.Field
	if fault.As(err, &nested) {
		return nested
	}
	var wrong *json.UnmarshalTypeError
	if fault.As(err, &wrong) {
		return &fault.Field{Path: prefix + wrong.Field, Value: wrong.Value, Rule: fmt.Sprintf("must be %s", wrong.Type)}
	}
	const unknown = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknown) {
		name := strings.Trim(strings.TrimPrefix(text, unknown), `"`)
		return &fault.Field{Path: prefix + name, Value: "", Rule: "is not a known field"}
	}
	return &fault.Field{Path: strings.TrimSuffix(prefix, "."), Value: "", Rule: "is not valid JSON: " + err.Error()}
}
