package kinds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"foxtailcroft/internal/core/fault"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources that operators declare.
const (
	Model   Kind = "Model"
	Adapter Kind = "Adapter"
	Service Kind = "Service"
	Policy  Kind = "Policy"
	Account Kind = "Account"
)

// All returns the kinds in the order in which resources of one file are applied:
// a kind comes after those that it refers to.
func All() []Kind {
	return []Kind{Policy, Model, Adapter, Service, Account}
}

// ParseKind returns the kind with the name, ignoring case, or a *fault.InvalidField error.
func ParseKind(name string) (Kind, error) {
	for _, k := range All() {
		if strings.EqualFold(string(k), name) {
			return k, nil
		}
	}
	return "", &fault.InvalidField{Path: "Kind", Value: name, Rule: "must be one of Model, Adapter, Service, Policy, Account"}
}

// ResourceKey returns the configuration key of the resource of a kind and name.
func ResourceKey(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// Resource is one declared resource. Of the spec fields, only the one that Kind names is set.
type Resource struct {
	Kind Kind
	Name string
	// Generation counts the accepted changes of the spec, starting at 1.
	Generation int64
	// Revision is the store revision of the last accepted change; the stored value omits it.
	Revision int64
	Model    *ModelSpec   `json:",omitempty"`
	Adapter  *AdapterSpec `json:",omitempty"`
	Service  *ServiceSpec `json:",omitempty"`
	Policy   *PolicySpec  `json:",omitempty"`
	Account  *AccountSpec `json:",omitempty"`
}

// envelope is the JSON form of a Resource.
type envelope struct {
	Kind       Kind
	Name       string
	Generation int64           `json:",omitempty"`
	Revision   int64           `json:",omitempty"`
	Spec       json.RawMessage `json:",omitempty"`
}

// Spec returns a pointer to the spec that the resource's kind selects, or nil for an unknown kind.
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
	case Account:
		return r.Account
	}
	return nil
}

// Key returns the resource's configuration key.
func (r Resource) Key() string {
	return ResourceKey(r.Kind, r.Name)
}

// WithGeneration returns a copy of the resource with the generation g.
func (r Resource) WithGeneration(g int64) Resource {
	r.Generation = g
	return r
}

// WithRevision returns a copy of the resource with the revision rev.
func (r Resource) WithRevision(rev int64) Resource {
	r.Revision = rev
	return r
}

// MarshalJSON encodes Kind, Name, Generation, Revision and Spec as one object.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.Spec())
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{r.Kind, r.Name, r.Generation, r.Revision, spec})
}

// UnmarshalJSON decodes the output of MarshalJSON; an unknown field is an error.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var e envelope
	if err := strictJSON(data, &e, ""); err != nil {
		return err
	}
	decoded, err := NewResource(e.Kind, e.Name)
	if err != nil {
		return err
	}
	decoded.Generation, decoded.Revision = e.Generation, e.Revision
	if len(e.Spec) > 0 {
		if err := strictJSON(e.Spec, decoded.Spec(), "Spec."); err != nil {
			return err
		}
	}
	*r = decoded
	return nil
}

// NewResource returns a resource of the kind with a zero spec, or a *fault.InvalidField error for an unknown kind.
func NewResource(kind Kind, name string) (Resource, error) {
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
	case Account:
		r.Account = &AccountSpec{}
	default:
		_, err := ParseKind(string(kind))
		if err == nil {
			err = &fault.InvalidField{Path: "Kind", Value: string(kind), Rule: "must be written Model, Adapter, Service, Policy or Account"}
		}
		return r, err
	}
	return r, nil
}

// strictJSON decodes data into out, rejecting unknown fields and trailing data.
// It returns errors as *fault.InvalidField with paths that begin with prefix.
func strictJSON(data []byte, out any, prefix string) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		if dec.More() {
			return &fault.InvalidField{Path: strings.TrimSuffix(prefix, "."), Value: "", Rule: "is followed by more data"}
		}
		return nil
	}
	var nested *fault.InvalidField
	if fault.As(err, &nested) {
		return nested
	}
	var typeErr *json.UnmarshalTypeError
	if fault.As(err, &typeErr) {
		return &fault.InvalidField{Path: prefix + typeErr.Field, Value: typeErr.Value, Rule: fmt.Sprintf("must be %s", typeErr.Type)}
	}
	const unknownFieldPrefix = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknownFieldPrefix) {
		name := strings.Trim(strings.TrimPrefix(text, unknownFieldPrefix), `"`)
		return &fault.InvalidField{Path: prefix + name, Value: "", Rule: "is not a known field"}
	}
	return &fault.InvalidField{Path: strings.TrimSuffix(prefix, "."), Value: "", Rule: "is not valid JSON: " + err.Error()}
}
