package heads

import "fmt"

// GrammarError reports bytes that are no answer in HTTP/1.1.
type GrammarError struct {
	// Field is the name of the field, or "status line", "chunk size" or the like.
	Field string
	// Value is the beginning of what breaks the rule.
	Value string
	// Rule is what the grammar asks for.
	Rule string
}

// maxShownBytes bounds the value in an error.
const maxShownBytes = 60

// breach returns a GrammarError with the beginning of a value.
func breach(field string, value []byte, rule string) error {
	return &GrammarError{Field: show([]byte(field)), Value: show(value), Rule: rule}
}

func show(b []byte) string {
	return string(b[:min(len(b), maxShownBytes)])
}

// Error returns a message with the field, the value and the rule.
func (e *GrammarError) Error() string {
	return fmt.Sprintf("malformed HTTP answer: %q: %q: %s", e.Field, e.Value, e.Rule)
}

// CutUploadError reports an answer whose end is unknown, as it has no length and its request was not written
// whole: a write that fails takes a reset from the socket, and what is read after it ends like a body.
type CutUploadError struct {
	// Written is the number of bytes of the request that were written.
	Written int64
	// Err is the error of the write, nil if it was still under way.
	Err error
}

// Error returns a message with the error of the write.
func (e *CutUploadError) Error() string {
	if e.Err == nil {
		return "answer without a length ended before its request was written"
	}
	return fmt.Sprintf("answer without a length to a cut request: %v", e.Err)
}

// Unwrap returns the error of the write.
func (e *CutUploadError) Unwrap() error {
	return e.Err
}
