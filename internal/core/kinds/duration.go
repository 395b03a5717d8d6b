package kinds

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration written as text such as "90s" in YAML and JSON.
type Duration time.Duration

// MarshalText writes the duration in Go's duration format.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's duration format.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"90s\" or \"10m\"", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML reads a duration and names the line of one that is wrong.
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
