package kinds

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration written as text such as "90s" in YAML and JSON.
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"90s\" or \"10m\"", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML parses a duration; its errors include the line number, which conf needs to locate the field.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	if err := d.UnmarshalText([]byte(node.Value)); err != nil {
		return fmt.Errorf("line %d: %w", node.Line, err)
	}
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
