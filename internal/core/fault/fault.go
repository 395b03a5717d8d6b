package fault

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Code says why a request was refused.
type Code string

// The codes of refusals and failures that callers see.
const (
	BadRequest       Code = "BadRequest"
	NotFound         Code = "NotFound"
	DeadlineTooSoon  Code = "DeadlineTooSoon"
	DeadlineExceeded Code = "DeadlineExceeded"
	Overloaded       Code = "Overloaded"
	Draining         Code = "Draining"
	NoEndpoint       Code = "NoEndpoint"
	NoSlot           Code = "NoSlot"
	NoMemory         Code = "NoMemory"
	StoreAway        Code = "StoreAway"
	Deposed          Code = "Deposed"
	KeyReused        Code = "KeyReused"
	EngineFailed     Code = "EngineFailed"
	EndpointLost     Code = "EndpointLost"
	Canceled         Code = "Canceled"
	Revoked          Code = "Revoked"
	Unsettled        Code = "Unsettled"
)

// Refusal is an honest "no": NotRun is true only if the request was certainly not executed.
type Refusal struct {
	Code    Code
	Message string
	NotRun  bool
	// RetryAfter is when a new try may succeed; 0 if not known.
	RetryAfter time.Duration `json:",omitempty"`
	// Endpoint is where the sender may try instead; empty if nowhere.
	Endpoint string `json:",omitempty"`
}

// Error words the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (not run: %t)", r.Code, r.Message, r.NotRun)
}

// NotRun returns a refusal of a request that was certainly not executed.
func NotRun(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Failed returns a refusal of a request that may have been executed.
func Failed(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns the refusal with a time after which a new try may succeed.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// WithEndpoint returns the refusal with another endpoint to try.
func (r Refusal) WithEndpoint(name string) *Refusal {
	r.Endpoint = name
	return &r
}

// Field is a value that breaks a rule.
type Field struct {
	Path  string
	Value string
	Rule  string
}

// Error names the field, its value and the rule.
func (f *Field) Error() string {
	if f.Value == "" {
		return fmt.Sprintf("field %s %s", f.Path, f.Rule)
	}
	return fmt.Sprintf("field %s: value %q %s", f.Path, f.Value, f.Rule)
}

// Fields is a list of breached fields.
type Fields struct {
	List []Field
}

// Error names each field.
func (f *Fields) Error() string {
	var parts []string
	for i := range f.List {
		parts = append(parts, f.List[i].Error())
	}
	return strings.Join(parts, "; ")
}

// Conflict reports a write that expected another revision.
type Conflict struct {
	Key      string
	Expected int64
	Actual   int64
}

// Error names both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s is at revision %d, the change expected revision %d", c.Key, c.Actual, c.Expected)
}

// Missing reports a resource that does not exist.
type Missing struct {
	Key string
}

// Error names the resource.
func (m *Missing) Error() string {
	return fmt.Sprintf("%s does not exist", m.Key)
}

// Away reports a platform part that does not answer.
type Away struct {
	Part string
	Err  error
	// Unsettled is true if a write may have taken effect.
	Unsettled bool
}

// Error names the part and the cause.
func (a *Away) Error() string {
	return fmt.Sprintf("%s does not answer: %v", a.Part, a.Err)
}

// Unwrap returns the cause.
func (a *Away) Unwrap() error {
	return a.Err
}

// As is errors.As, so that packages which wrap errors need one import.
func As(err error, target any) bool {
	return errors.As(err, target)
}

// Of returns the refusal inside err, or wraps err as a failure whose execution is not excluded.
func Of(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Failed(EngineFailed, "%v", err)
}
