package conf

import (
	"embed"
	"fmt"
)

//go:embed examples/*.yaml
var examples embed.FS

// ExampleRoles returns the roles that have example settings.
func ExampleRoles() []string {
	return []string{"entry", "agent", "service-agent", "standin-platform", "standin-engine", "standin-service"}
}

// Example returns the example settings of a role.
func Example(role string) (string, error) {
	data, err := examples.ReadFile("examples/" + role + ".yaml")
	if err != nil {
		return "", fmt.Errorf("role %q has no example settings", role)
	}
	return string(data), nil
}
