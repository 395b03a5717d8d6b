// Package logs builds the structured logger: JSON lines with PascalCase keys.
package logs
