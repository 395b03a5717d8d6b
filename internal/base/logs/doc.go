// Package logs builds structured loggers that write JSON lines with PascalCase keys.
package logs
