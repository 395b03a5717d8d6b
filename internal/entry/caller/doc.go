// Package caller serves the HTTP API for callers: chat completions, the list of
// models, and plain services.
package caller
