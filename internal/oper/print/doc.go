// Package print writes what the operators' commands show: tables, JSON and YAML.
package print
