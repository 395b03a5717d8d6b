// Package print formats the output of the operator commands as tables, JSON or YAML.
package print
