package fault

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Code is the reason why a request was refused or failed.
type Code string

// The codes that answers to callers and errors between nodes carry.
const (
	BadRequest       Code = "BadRequest"
	NotFound         Code = "NotFound"
	DeadlineTooSoon  Code = "DeadlineTooSoon"  // the forecast answer would miss the deadline
	DeadlineExceeded Code = "DeadlineExceeded" // the deadline passed first
	Overloaded       Code = "Overloaded"
	Draining         Code = "Draining"
	UnknownKey       Code = "UnknownKey"    // the request has no key of a client account
	QuotaExceeded    Code = "QuotaExceeded" // the client account is over its rate limit
	NoEndpoint       Code = "NoEndpoint"    // no endpoint serves the model or service now
	NoSlot           Code = "NoSlot"        // this endpoint does not serve the model or service
	NoMemory         Code = "NoMemory"      // busy replicas fill the endpoint
	StoreAway        Code = "StoreAway"     // state that must be read from or written to the store is not confirmed yet
	Deposed          Code = "Deposed"       // another agent owns the endpoint, or another endpoint the claim partition
	KeyReused        Code = "KeyReused"     // the idempotency key was used for a different call
	EngineFailed     Code = "EngineFailed"  // the engine or plain service failed, or an error is of no other kind
	EndpointLost     Code = "EndpointLost"  // the endpoint cannot be reached, fell silent or restarted
	Canceled         Code = "Canceled"      // the attempt was canceled, such as when the caller has gone
	Revoked          Code = "Revoked"       // the attempt was revoked or is over
	Unsettled        Code = "Unsettled"     // a call to a plain service has an unknown outcome
)

// Refusal is a refused or failed request. NotRun is true only if the request
// is known not to have been executed.
type Refusal struct {
	Code    Code
	Message string
	NotRun  bool
	// RetryAfter is how long to wait before a retry may succeed; 0 if unknown.
	RetryAfter time.Duration `json:",omitempty"`
	// Endpoint is the name of another endpoint that the sender may try; empty if there is none.
	Endpoint string `json:",omitempty"`
}

// Error returns the code, the message and whether the request is known not to have run.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (not run: %t)", r.Code, r.Message, r.NotRun)
}

// NotRun returns a refusal of a request that is known not to have been executed.
func NotRun(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Failed returns a refusal of a request that may have been executed.
func Failed(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the refusal whose RetryAfter is d.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// WithEndpoint returns a copy of the refusal that names another endpoint to try.
func (r Refusal) WithEndpoint(name string) *Refusal {
	r.Endpoint = name
	return &r
}

// InvalidField reports a field whose value violates a validation rule.
type InvalidField struct {
	Path string
	// Value is the invalid value as text; empty if it is missing or has no short form.
	Value string
	// Rule completes a sentence about the field, such as "must be greater than 0".
	Rule string
}

// Error returns the path of the field, its value if there is one, and the rule.
func (f *InvalidField) Error() string {
	if f.Value == "" {
		return fmt.Sprintf("field %s %s", f.Path, f.Rule)
	}
	return fmt.Sprintf("field %s: value %q %s", f.Path, f.Value, f.Rule)
}

// InvalidFields reports all invalid fields of one document.
type InvalidFields struct {
	List []InvalidField
}

// Error returns the errors of all fields, separated by semicolons.
func (f *InvalidFields) Error() string {
	var parts []string
	for i := range f.List {
		parts = append(parts, f.List[i].Error())
	}
	return strings.Join(parts, "; ")
}

// RevisionConflict reports a conditional write whose expected revision is not the
// key's current one; revision 0 stands for a key that does not exist.
type RevisionConflict struct {
	Key      string
	Expected int64
	Actual   int64
}

// Error returns the key, its actual revision and the expected one.
func (c *RevisionConflict) Error() string {
	return fmt.Sprintf("%s is at revision %d, the change expected revision %d", c.Key, c.Actual, c.Expected)
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct {
	Key string
}

// Error returns the key that does not exist.
func (m *NotFoundError) Error() string {
	return fmt.Sprintf("%s does not exist", m.Key)
}

// Unavailable reports a service that the process depends on and that does not answer, such as the store or an engine.
type Unavailable struct {
	Service string
	Err     error
	// MayHaveApplied is true if the failed call is a write that may have taken effect.
	MayHaveApplied bool
}

// Error returns the name of the service and the cause.
func (a *Unavailable) Error() string {
	return fmt.Sprintf("%s does not answer: %v", a.Service, a.Err)
}

// Unwrap returns the error of the failed call.
func (a *Unavailable) Unwrap() error {
	return a.Err
}

// As calls errors.As, so that packages that inspect these errors need no second import.
func As(err error, target any) bool {
	return errors.As(err, target)
}

// AsRefusal returns the Refusal that err wraps. Any other error becomes a refusal with
// code EngineFailed and NotRun false, because the request may have been executed.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Failed(EngineFailed, "%v", err)
}
