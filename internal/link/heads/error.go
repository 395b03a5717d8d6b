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
	return fmt.Sprintf("answer breaks HTTP/1.1: %q: %q: %s", e.Field, e.Value, e.Rule)
}
